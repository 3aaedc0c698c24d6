package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.laburnumarch.internal.job.JobProgress;

/** Collects the jobs whose progress must be stored before its effects may be shown. */
final class ChangeLog {

  private final Set<Job> dirty = new LinkedHashSet<>();
  private long nextNumber = 1;

  /** Notes that a job's progress has changed; returns the number under which it will be stored. */
  long note(Job job) {
    dirty.add(job);
    return nextNumber;
  }

  boolean isEmpty() {
    return dirty.isEmpty();
  }

  /** Returns what is to be stored next, as one batch. */
  JobChanges take() {
    List<JobProgress> progress = new ArrayList<>(dirty.size());
    dirty.forEach(job -> progress.add(job.progress()));
    dirty.clear();
    return new JobChanges(nextNumber++, progress);
  }
}
