package org.laburnumarch.internal.state;

/**
 * An instance of a pool.
 *
 * @param pool the only pool that it belongs to
 * @param health whether it may be used
 * @param maintainedAtEpochMs log time of its last finished maintenance, or of its addition
 */
public record InstanceEntry(
    String instance,
    String pool,
    String dataCentre,
    String rack,
    String address,
    InstanceHealth health,
    long maintainedAtEpochMs) {
  /** Returns the instance in another pool. */
  public InstanceEntry withPool(String newPool) {
    return new InstanceEntry(
        instance, newPool, dataCentre, rack, address, health, maintainedAtEpochMs);
  }

  /** Returns the instance with another health. */
  public InstanceEntry withHealth(InstanceHealth newHealth) {
    return new InstanceEntry(
        instance, pool, dataCentre, rack, address, newHealth, maintainedAtEpochMs);
  }

  /** Returns the instance with the time of a finished maintenance. */
  public InstanceEntry maintainedAt(long atEpochMs) {
    return new InstanceEntry(instance, pool, dataCentre, rack, address, health, atEpochMs);
  }
}
