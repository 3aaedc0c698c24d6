package org.laburnumarch.internal.job;

import java.util.Set;

/**
 * A team of the configuration in force.
 *
 * @param name the team's name
 * @param keys the keys that its callers may show
 * @param weight its share when all is full, in jobs a second
 * @param limit what it may have running over all workers; 0 for no limit
 */
public record TeamConfig(String name, Set<String> keys, double weight, Resources limit) {

  /** Copies the set. */
  public TeamConfig {
    keys = Set.copyOf(keys);
  }
}
