package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.TaskKey;

/** A job of the callers, and what they were told about it. */
final class SubmittedJob {
  final JobSpec job;
  final String service;
  long acceptedAtMs = -1;
  long cancelConfirmedAtMs = -1;
  boolean isCancelRequested;
  boolean isRefused;
  JobStatus reportedStatus = JobStatus.QUEUED;

  SubmittedJob(JobSpec job, String service) {
    this.job = job;
    this.service = service;
  }

  /** Returns whether the job was accepted and has to be carried out. */
  boolean isOwed() {
    return acceptedAtMs >= 0 && !isCancelRequested;
  }

  List<String> taskNames() {
    List<String> names = new ArrayList<>();
    for (int step = 0; step < job.steps().size(); step++) {
      names.addAll(taskNames(step));
    }
    return names;
  }

  List<String> taskNames(int step) {
    List<String> names = new ArrayList<>();
    for (int index = 0; index < job.steps().get(step).count(); index++) {
      names.add(new TaskKey(job.id(), 0, step, index).wireName());
    }
    return names;
  }
}
