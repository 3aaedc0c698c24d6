package org.laburnumarch.internal.admission;

import org.laburnumarch.internal.job.Resources;

/** An amount of work: resources multiplied by the time for which they are needed. */
public record Work(double cpuMillisMs, double memoryMbMs, double gpuMs) {

  /** No work. */
  public static final Work NONE = new Work(0, 0, 0);

  /** Returns the work of tasks that each hold an amount of resources for a time. */
  public static Work of(Resources amount, double taskMs) {
    return new Work(
        amount.cpuMillis() * taskMs, amount.memoryMb() * taskMs, amount.gpus() * taskMs);
  }

  /** Returns the sum of both. */
  public Work plus(Work other) {
    return new Work(
        cpuMillisMs + other.cpuMillisMs, memoryMbMs + other.memoryMbMs, gpuMs + other.gpuMs);
  }

  /** Returns a part or a multiple. */
  public Work times(double factor) {
    return new Work(cpuMillisMs * factor, memoryMbMs * factor, gpuMs * factor);
  }

  /**
   * Returns the time that a pool needs for the work by its scarcest resource, in milliseconds; a
   * resource that the pool does not have is left out.
   */
  public double msIn(Resources room) {
    return Math.max(
        Math.max(ms(cpuMillisMs, room.cpuMillis()), ms(memoryMbMs, room.memoryMb())),
        ms(gpuMs, room.gpus()));
  }

  private static double ms(double work, long room) {
    return room > 0 ? work / room : 0;
  }
}
