package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Resources that a task needs or that a worker has.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskSize(int milliProcessors, int memoryMb, int accelerators) {

  /** No resources at all. */
  public static final TaskSize NONE = new TaskSize(0, 0, 0);

  /** Returns whether all its resources fit into the free ones. */
  public boolean fitsInto(TaskSize free) {
    return milliProcessors <= free.milliProcessors
        && memoryMb <= free.memoryMb
        && accelerators <= free.accelerators;
  }

  /** Returns the sum by component. */
  public TaskSize plus(TaskSize other) {
    return new TaskSize(
        milliProcessors + other.milliProcessors,
        memoryMb + other.memoryMb,
        accelerators + other.accelerators);
  }

  /**
   * Returns the difference by component; a component is negative if {@code other} has more of it.
   */
  public TaskSize minus(TaskSize other) {
    return new TaskSize(
        milliProcessors - other.milliProcessors,
        memoryMb - other.memoryMb,
        accelerators - other.accelerators);
  }

  /** Returns whether no component is negative. */
  boolean isValid() {
    return milliProcessors >= 0 && memoryMb >= 0 && accelerators >= 0;
  }
}
