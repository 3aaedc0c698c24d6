package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.JobStatus;

/**
 * The jobs that were cancelled before their submission arrived, which may still be on its way. They
 * are kept as long as the status of finished jobs, so that a submission that arrives late does not
 * run what its caller was told does not exist.
 */
final class EarlyCancellations {

  /** Largest number of jobs, so that callers who cancel what nobody submits cannot fill memory. */
  static final int MAX_JOBS = 10_000;

  private final Map<String, Job> jobs = new HashMap<>();

  /** Returns a job; null if it was not cancelled early. */
  Job find(String jobId) {
    return jobs.get(jobId);
  }

  /** Cancels a job that has not been submitted; empty if too many such jobs are kept. */
  Optional<Job> cancel(String jobId) {
    if (!jobs.containsKey(jobId)) {
      if (jobs.size() >= MAX_JOBS) {
        return Optional.empty();
      }
      add(Job.ofFinalStatus(jobId, JobStatus.CANCELLED));
    }
    return Optional.of(jobs.get(jobId));
  }

  /** Adds a job that has not been submitted. */
  void add(Job job) {
    job.isSubmitted = false;
    jobs.put(job.spec.id(), job);
  }

  /** Removes a job whose submission has arrived; empty if it was not cancelled early. */
  Optional<Job> takeSubmitted(String jobId) {
    Optional<Job> job = Optional.ofNullable(jobs.remove(jobId));
    job.ifPresent(submitted -> submitted.isSubmitted = true);
    return job;
  }

  /** Removes the jobs whose cancellation has been kept long enough, and returns their ids. */
  List<String> removeExpired(long retentionMs, long nowMs) {
    List<String> expired =
        jobs.values().stream()
            .filter(job -> job.isExpired(retentionMs, nowMs))
            .map(job -> job.spec.id())
            .toList();
    expired.forEach(jobs::remove);
    return expired;
  }
}
