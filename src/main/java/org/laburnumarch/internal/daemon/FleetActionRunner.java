package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.laburnumarch.internal.fleet.FleetAction;
import org.laburnumarch.internal.fleet.FleetController;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;
import org.tinylog.Logger;

/** Feeds the {@link FleetController} and runs its actions; on the core loop. */
final class FleetActionRunner {
  private final CoreLoop core;
  private final ControlLog log;
  private final PoolControl pools;
  private final Supplier<String> memberId;
  private final FleetController fleet = new FleetController();

  FleetActionRunner(CoreLoop core, ControlLog log, PoolControl pools, Supplier<String> memberId) {
    this.core = core;
    this.log = log;
    this.pools = pools;
    this.memberId = memberId;
  }

  void onInstances(List<ListedInstance> listed) {
    fleet.onList(listed, log.state(), core.nowMs());
  }

  void tick() {
    run(fleet.onTick(log.state(), memberId.get(), core.nowMs(), System.currentTimeMillis()));
  }

  private void run(List<FleetAction> actions) {
    actions.forEach(this::run);
  }

  private void run(FleetAction action) {
    if (action instanceof FleetAction.Append append) {
      log.append(memberId.get(), append.body());
    } else if (action instanceof FleetAction.Drain drain) {
      logIfFailed("drain", drain.instance(), pools.drain(drain.instance()));
    } else if (action instanceof FleetAction.Reboot reboot) {
      logIfFailed("reboot", reboot.instance(), pools.reboot(reboot.instance()));
    } else if (action instanceof FleetAction.QueryStatus query) {
      logIfFailed(
          "status",
          query.instance(),
          pools.status(query.instance()).thenAccept(status -> onStatus(query, status)));
    }
  }

  private void onStatus(FleetAction.QueryStatus query, PoolControl.Status status) {
    core.execute(() -> run(fleet.onStatus(log.state(), query.instance(), status, core.nowMs())));
  }

  /** Only logs a failed call, since the next tick repeats it. */
  private static void logIfFailed(String action, String instance, CompletionStage<Void> call) {
    var unused =
        call.whenComplete(
            (done, failure) -> {
              if (failure != null) {
                Logger.debug(
                    "fleet: The {} call for instance {} failed: {}",
                    action,
                    instance,
                    failure.getMessage());
              }
            });
  }
}
