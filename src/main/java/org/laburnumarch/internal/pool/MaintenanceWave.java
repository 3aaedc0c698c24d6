package org.laburnumarch.internal.pool;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A set of instances that the operators want maintained by a deadline.
 *
 * @param number number of the wave
 * @param machines names of the instances
 * @param dueMs time after the operators' order by which all instances must have been maintained
 * @param atOnce largest number of the wave's instances in maintenance at the same time
 */
public record MaintenanceWave(long number, Set<String> machines, long dueMs, int atOnce) {

  /** Copies the set and keeps its iteration order. */
  public MaintenanceWave {
    machines = Collections.unmodifiableSet(new LinkedHashSet<>(machines));
  }
}
