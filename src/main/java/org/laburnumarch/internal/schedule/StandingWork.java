package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * Work of one pool that stands for one reason: waiting tasks of jobs of which nothing runs, and
 * long-running tasks without a run.
 *
 * @param service the pool's service; empty if the queue is not configured
 * @param reason why it stands
 * @param jobs number of jobs
 * @param tasks number of tasks
 * @param jobId the job that has stood for the longest time
 * @param taskName a standing task of that job; empty if none is due by the configuration in force
 * @param queue that job's queue
 * @param team that job's team
 * @param standingMs time for which it has stood under this owner
 * @param ageMs time since the job was submitted
 * @param pool the state of the pool
 * @param eligible number of workers that accept that task, regardless of their free capacity
 * @param fitting number of these with enough free capacity
 * @param workerIds some of the workers that it waits for
 * @param details further fields of the log line; may be empty
 */
public record StandingWork(
    String service,
    WaitReason reason,
    int jobs,
    int tasks,
    String jobId,
    String taskName,
    String queue,
    String team,
    long standingMs,
    long ageMs,
    PoolState pool,
    int eligible,
    int fitting,
    List<String> workerIds,
    String details) {

  /** Copies the list. */
  public StandingWork {
    workerIds = List.copyOf(workerIds);
  }

  /** Returns the fields of a log line. */
  public String fields() {
    return "pool="
        + orDash(service)
        + " reason="
        + reason.label()
        + " jobs="
        + jobs
        + " tasks="
        + tasks
        + " job="
        + jobId
        + " task="
        + orDash(taskName)
        + " queue="
        + queue
        + " team="
        + orDash(team)
        + " standing_ms="
        + standingMs
        + " age_ms="
        + ageMs
        + " waits_for="
        + orDash(String.join(",", workerIds))
        + ' '
        + pool.fields()
        + " eligible="
        + eligible
        + " fitting="
        + fitting
        + (details.isEmpty() ? "" : " " + details);
  }

  private static String orDash(String text) {
    return text.isEmpty() ? "-" : text;
  }
}
