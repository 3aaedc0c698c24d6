package org.laburnumarch.internal.time;

import java.util.function.LongSupplier;

/** Creates clocks for tests in virtual time. */
public final class VirtualClocks {

  private VirtualClocks() {}

  /** Returns a clock whose instants and times of day are those that a supplier returns. */
  public static SuspendAwareClock of(LongSupplier nowMs) {
    return new SuspendAwareClock(nowMs::getAsLong, nowMs);
  }
}
