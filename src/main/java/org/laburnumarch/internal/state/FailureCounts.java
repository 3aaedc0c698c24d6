package org.laburnumarch.internal.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Distinguishes jobs that always fail from workers on which every task fails.
 *
 * <p>A failure counts against the task. It also counts against the worker, unless the task or its
 * job has failed on another worker: otherwise a few jobs that always fail would quarantine one
 * worker after another. Once a worker is quarantined, failures on it no longer count against
 * unfinished tasks.
 */
final class FailureCounts {

  /** A task that has failed on this number of distinct workers is parked. */
  static final int MAX_FAILED_WORKERS = 3;

  /** A worker on which this number of distinct jobs have failed in a row is quarantined. */
  static final int MAX_FAILED_JOBS = 3;

  private FailureCounts() {}

  static TaskTables count(TaskTables tables, TaskEntry task, AttemptEnd attemptEnd) {
    WorkerEntry worker = tables.workers().getOrElse(task.worker(), null);
    if (attemptEnd == AttemptEnd.SUCCEEDED) {
      return worker == null ? tables : tables.withWorker(worker.withoutFailures());
    }
    if (attemptEnd != AttemptEnd.FAILED) {
      return tables;
    }
    if (worker == null) {
      return countAgainstTask(tables, task);
    }
    boolean isJobSuspect = isJobSuspect(tables, task, worker);
    if (worker.isQuarantined()) {
      return isJobSuspect
          ? countAgainstTask(tables, task)
          : tables.withWorker(
              worker.withFailures(worker.failedJobs(), true, worker.failedProbes() + 1));
    }
    TaskTables counted = countAgainstTask(tables, task);
    return isJobSuspect ? counted : countAgainstWorker(counted, worker, task);
  }

  /** Returns whether the task or its job has failed on another worker. */
  private static boolean isJobSuspect(TaskTables tables, TaskEntry task, WorkerEntry worker) {
    return task.failedWorkers().stream().anyMatch(name -> !name.equals(worker.worker()))
        || tables
            .workers()
            .values()
            .exists(
                other ->
                    !other.worker().equals(worker.worker())
                        && other.failedJobs().contains(jobOf(task)));
  }

  private static String jobOf(TaskEntry task) {
    return task.spec().team() + "/" + task.spec().job();
  }

  private static TaskTables countAgainstTask(TaskTables tables, TaskEntry task) {
    return tables.withTask(task.withFailedWorkers(append(task.failedWorkers(), task.worker())));
  }

  private static TaskTables countAgainstWorker(
      TaskTables tables, WorkerEntry worker, TaskEntry task) {
    List<String> jobs = append(worker.failedJobs(), jobOf(task));
    if (jobs.size() < MAX_FAILED_JOBS) {
      return tables.withWorker(worker.withFailures(jobs, false, 0));
    }
    return tables
        .withWorker(worker.withFailures(jobs, true, 0))
        .withTasks(tables.tasks().mapValues(entry -> withoutFailureOn(entry, worker.worker())));
  }

  private static TaskEntry withoutFailureOn(TaskEntry entry, String worker) {
    return !entry.phase().isFinal() && entry.failedWorkers().contains(worker)
        ? entry.withFailedWorkers(
            entry.failedWorkers().stream().filter(name -> !name.equals(worker)).toList())
        : entry;
  }

  private static List<String> append(List<String> names, String name) {
    if (names.contains(name)) {
      return names;
    }
    List<String> extended = new ArrayList<>(names);
    extended.add(name);
    return extended;
  }
}
