package org.laburnumarch.internal.schedule;

import java.util.List;
import org.laburnumarch.internal.job.JobProgress;

/**
 * A batch of progress to store together.
 *
 * @param number number of the batch, rising from 1
 * @param progress the current progress of each changed job
 */
public record JobChanges(long number, List<JobProgress> progress) {

  /** Copies the list. */
  public JobChanges {
    progress = List.copyOf(progress);
  }
}
