package org.laburnumarch.internal.job;

/**
 * Amounts of resources that a task needs, a worker has or a team may use.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes of memory
 * @param gpus number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {

  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of both. */
  public Resources plus(Resources other) {
    return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /** Returns the difference; amounts may become negative. */
  public Resources minus(Resources other) {
    return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /** Returns this amount a number of times. */
  public Resources times(int count) {
    return new Resources(cpuMillis * count, memoryMb * count, gpus * count);
  }

  /** Returns whether {@code other} fits into these amounts. */
  public boolean holds(Resources other) {
    return other.cpuMillis <= cpuMillis && other.memoryMb <= memoryMb && other.gpus <= gpus;
  }

  /** Returns whether {@code used} is within these limits; an amount of 0 means no limit. */
  public boolean allows(Resources used) {
    return isWithin(used.cpuMillis, cpuMillis)
        && isWithin(used.memoryMb, memoryMb)
        && isWithin(used.gpus, gpus);
  }

  private static boolean isWithin(long used, long limit) {
    return limit == 0 || used <= limit;
  }
}
