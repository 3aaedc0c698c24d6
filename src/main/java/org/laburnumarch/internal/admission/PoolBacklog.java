package org.laburnumarch.internal.admission;

import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;

/**
 * The accepted work of one pool.
 *
 * @param room the resources of all workers of the pool and of those that are coming to it
 * @param running what the runs that are going on still need
 * @param longestTaskMs expected time of the longest task that runs or waits
 * @param waiting jobs with tasks that have not started
 * @param debtsMs debts of the teams that have any, in time of their share
 */
public record PoolBacklog(
    Resources room,
    Work running,
    double longestTaskMs,
    List<WaitingJob> waiting,
    Map<String, Double> debtsMs) {

  /** Copies the collections. */
  public PoolBacklog {
    waiting = List.copyOf(waiting);
    debtsMs = Map.copyOf(debtsMs);
  }

  /**
   * A job that is accepted or to be accepted.
   *
   * @param team its team
   * @param priority the priority of its queue; 0 is the most urgent
   * @param isLate whether it can no longer meet its objective
   * @param hasStarted whether any of its tasks has started
   * @param isAgreed whether it is within the agreement with its team
   * @param deadlineAtMs local time by which it must be done to meet its objective
   * @param work the expected work of its tasks that have not started
   */
  public record WaitingJob(
      String team,
      int priority,
      boolean isLate,
      boolean hasStarted,
      boolean isAgreed,
      double deadlineAtMs,
      Work work) {}
}
