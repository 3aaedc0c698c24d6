package org.laburnumarch.internal.pool;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Instances whose maintenance the operators have ordered.
 *
 * @param number number of the wave
 * @param machines names of the instances
 * @param dueMs time from the order until which all must have had their maintenance
 * @param atOnce most instances of the wave in maintenance at the same time
 */
public record MaintenanceWave(long number, Set<String> machines, long dueMs, int atOnce) {

  /** Copies the set, in its order. */
  public MaintenanceWave {
    machines = Collections.unmodifiableSet(new LinkedHashSet<>(machines));
  }
}
