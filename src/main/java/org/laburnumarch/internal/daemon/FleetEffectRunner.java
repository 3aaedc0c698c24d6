package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.laburnumarch.internal.fleet.FleetEffect;
import org.laburnumarch.internal.fleet.FleetSystem;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;
import org.tinylog.Logger;

/** Feeds the {@link FleetSystem} and runs its effects; on the core loop. */
final class FleetEffectRunner {
  private final CoreLoop core;
  private final ControlLog log;
  private final PoolControl pools;
  private final Supplier<String> memberId;
  private final FleetSystem fleet = new FleetSystem();

  FleetEffectRunner(CoreLoop core, ControlLog log, PoolControl pools, Supplier<String> memberId) {
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

  private void run(List<FleetEffect> effects) {
    effects.forEach(this::run);
  }

  private void run(FleetEffect effect) {
    if (effect instanceof FleetEffect.Append append) {
      log.append(memberId.get(), append.body());
    } else if (effect instanceof FleetEffect.Drain drain) {
      logIfFailed("drain", drain.instance(), pools.drain(drain.instance()));
    } else if (effect instanceof FleetEffect.Reboot reboot) {
      logIfFailed("reboot", reboot.instance(), pools.reboot(reboot.instance()));
    } else if (effect instanceof FleetEffect.AskStatus ask) {
      logIfFailed(
          "status",
          ask.instance(),
          pools.status(ask.instance()).thenAccept(status -> onStatus(ask, status)));
    }
  }

  private void onStatus(FleetEffect.AskStatus ask, PoolControl.Status status) {
    core.execute(() -> run(fleet.onStatus(log.state(), ask.instance(), status, core.nowMs())));
  }

  /** Only logs a failed call, since the next tick repeats it. */
  private static void logIfFailed(String action, String instance, CompletionStage<Void> call) {
    var unused =
        call.whenComplete(
            (done, failure) -> {
              if (failure != null) {
                Logger.debug(
                    "fleet: The {} of {} failed: {}", action, instance, failure.getMessage());
              }
            });
  }
}
