package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.laburnumarch.internal.job.JobProgress;

/**
 * Collects the jobs whose progress must be stored before callers and workers may see its effects.
 */
final class PendingChanges {

  private final Set<Job> changedJobs = new LinkedHashSet<>();
  private long nextNumber = 1;

  /** Adds a job whose progress has changed; returns the number of the batch that will store it. */
  long add(Job job) {
    changedJobs.add(job);
    job.lastBatchNumber = nextNumber;
    return nextNumber;
  }

  boolean isEmpty() {
    return changedJobs.isEmpty();
  }

  /** Returns the next batch to store, and starts a new one. */
  JobChanges take() {
    List<JobProgress> progress = new ArrayList<>(changedJobs.size());
    changedJobs.forEach(job -> progress.add(job.progress()));
    changedJobs.clear();
    return new JobChanges(nextNumber++, progress);
  }
}
