package org.laburnumarch.internal.job;

import java.util.Optional;

/**
 * Identifies one task of a job.
 *
 * @param job the job's id
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {

  private static final int PARTS = 4;

  /** Returns the task's name in orders to workers and in their reports. */
  public String wireName() {
    return job + '.' + occurrence + '.' + step + '.' + index;
  }

  /** Parses a task's name from a worker's report; empty if it is malformed. */
  public static Optional<TaskKey> parse(String wireName) {
    String[] parts = wireName.split("\\.", -1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TaskKey(
              parts[0],
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
