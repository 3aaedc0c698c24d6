package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * The work of all pools that waits after a round.
 *
 * @param standing the work that stands, by pool and reason
 * @param unplaced the steps that the round left waiting, for each pool that has any
 */
public record WaitSummary(List<StandingWork> standing, List<UnplacedSteps> unplaced) {

  /** Copies the lists. */
  public WaitSummary {
    standing = List.copyOf(standing);
    unplaced = List.copyOf(unplaced);
  }
}
