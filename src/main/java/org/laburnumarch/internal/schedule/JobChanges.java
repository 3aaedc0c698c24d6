package org.laburnumarch.internal.schedule;

import java.util.List;
import org.laburnumarch.internal.job.JobProgress;

/**
 * Progress that is to be stored together.
 *
 * @param number number to confirm it with
 * @param progress the progress of each job that has changed
 */
public record JobChanges(long number, List<JobProgress> progress) {

  /** Copies the list. */
  public JobChanges {
    progress = List.copyOf(progress);
  }
}
