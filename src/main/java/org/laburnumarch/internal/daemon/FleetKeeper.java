package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.laburnumarch.internal.fleet.FleetEffect;
import org.laburnumarch.internal.fleet.FleetSystem;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;
import org.tinylog.Logger;

/** Carries out what the fleet system decides; on the core loop. */
final class FleetKeeper {
  private final CoreLoop core;
  private final ControlLog log;
  private final PoolControl pools;
  private final Supplier<String> memberId;
  private final FleetSystem fleet = new FleetSystem();

  FleetKeeper(CoreLoop core, ControlLog log, PoolControl pools, Supplier<String> memberId) {
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
      report("drain", drain.instance(), pools.drain(drain.instance()));
    } else if (effect instanceof FleetEffect.Reboot reboot) {
      report("reboot", reboot.instance(), pools.reboot(reboot.instance()));
    } else if (effect instanceof FleetEffect.AskStatus ask) {
      report(
          "status",
          ask.instance(),
          pools.status(ask.instance()).thenAccept(status -> take(ask, status)));
    }
  }

  private void take(FleetEffect.AskStatus ask, PoolControl.Status status) {
    core.execute(() -> run(fleet.onStatus(log.state(), ask.instance(), status, core.nowMs())));
  }

  /** The next tick asks again, so a call that failed needs no other care. */
  private static void report(String action, String instance, CompletionStage<Void> call) {
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
