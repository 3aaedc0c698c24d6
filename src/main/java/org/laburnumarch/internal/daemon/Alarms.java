package org.laburnumarch.internal.daemon;

import com.codahale.metrics.Counter;
import java.util.HashSet;
import java.util.Set;
import org.laburnumarch.Refusal;
import org.tinylog.Logger;

/** Counts violations of invariants and logs each distinct one once. */
final class Alarms {

  /** Bounds the memory for alarms with varying messages; further ones are only counted. */
  private static final int MAX_LOGGED = 1_000;

  private final Counter raised;
  private final Set<Refusal> logged = new HashSet<>();

  Alarms(DaemonMetrics metrics) {
    this.raised = metrics.counter("alarms.raised.count");
  }

  /** Counts an alarm and logs it if it is new; on the core loop. */
  void raise(Refusal refusal) {
    raised.inc();
    if (logged.size() < MAX_LOGGED && logged.add(refusal)) {
      Logger.error("daemon: Alarm {}: {}", refusal.code().number(), refusal.message());
    }
  }
}
