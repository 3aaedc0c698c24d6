package org.laburnumarch.internal.job;

import java.util.Set;

/**
 * The configuration of a team.
 *
 * @param name the team's name
 * @param keys the API keys of its callers
 * @param weight its share under full load, in jobs per second
 * @param limit the most that its runs may use over all workers; an amount of 0 means no limit
 */
public record TeamConfig(String name, Set<String> keys, double weight, Resources limit) {

  /** Copies the set. */
  public TeamConfig {
    keys = Set.copyOf(keys);
  }
}
