package org.laburnumarch.internal.soak;

import java.util.List;
import java.util.OptionalLong;
import org.laburnumarch.internal.job.JobSpec;

/** Decides which jobs callers submit, and what becomes of them. */
interface JobSource {

  /** Returns the time between two calls of {@link #next}, in milliseconds. */
  long intervalMs();

  /**
   * Returns the jobs to submit now.
   *
   * @param elapsedMs time since the callers started
   */
  List<JobSpec> next(long elapsedMs);

  /** Returns when a job is cancelled, in milliseconds after its acceptance; empty if it is not. */
  OptionalLong cancelDelayMs(JobSpec job);

  /**
   * Returns when a job is submitted again, in milliseconds after its acceptance; empty if it is
   * not.
   */
  OptionalLong repeatDelayMs(JobSpec job);
}
