package org.laburnumarch.internal.job;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The status of a job as reported to its caller. */
public enum JobStatus {
  QUEUED(0, false),
  RUNNING(1, false),
  COMPLETED(2, true),
  FAILED(3, true),
  CANCELLED(4, true);

  private final int code;
  private final boolean isFinal;

  JobStatus(int code, boolean isFinal) {
    this.code = code;
    this.isFinal = isFinal;
  }

  /** Returns the number of the status in stored records. */
  public int code() {
    return code;
  }

  /** Returns the status with a number in stored records; empty if there is none. */
  public static Optional<JobStatus> ofCode(int code) {
    return Arrays.stream(values()).filter(status -> status.code == code).findFirst();
  }

  /** Returns the status with a label; empty if there is none. */
  public static Optional<JobStatus> named(String label) {
    return Arrays.stream(values()).filter(status -> status.label().equals(label)).findFirst();
  }

  /** Returns whether the job never changes again. */
  public boolean isFinal() {
    return isFinal;
  }

  /** Returns the name in lower case, as sent to callers. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
