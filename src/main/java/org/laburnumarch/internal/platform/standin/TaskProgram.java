package org.laburnumarch.internal.platform.standin;

import java.util.Arrays;

/** What the tasks of a job do, by the name of the job's program. */
public enum TaskProgram {
  /** A few runs fail. */
  USUAL("soak", 40),
  /** A third of the runs fails. */
  FAILS_OFTEN("fails-often", 3),
  /** All runs fail. */
  FAILS("fails", 1),
  /** Each run crashes its worker. */
  CRASHES("crashes", 1);

  private final String label;
  private final int oneFailureIn;

  TaskProgram(String label, int oneFailureIn) {
    this.label = label;
    this.oneFailureIn = oneFailureIn;
  }

  /** Returns the name that a job gives as its program. */
  public String label() {
    return label;
  }

  /** Returns the number of runs of which one fails, chosen by a hash of its task and number. */
  int oneFailureIn() {
    return oneFailureIn;
  }

  static TaskProgram of(String label) {
    return Arrays.stream(values())
        .filter(program -> program.label.equals(label))
        .findFirst()
        .orElse(USUAL);
  }
}
