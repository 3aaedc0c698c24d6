package org.laburnumarch.internal.schedule;

import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * What a task needs of a worker, apart from the limits of its step.
 *
 * @param reserved what it reserves of the free capacity
 * @param need what the worker must have in all
 * @param requiredLabel label that the worker must have; empty for any
 */
record TaskSize(Resources reserved, Resources need, String requiredLabel) {

  static TaskSize of(StepSpec spec) {
    return new TaskSize(spec.reserved(), spec.need(), spec.requiredLabel());
  }

  /** Returns whether every worker that has room for this has room for the other, too. */
  boolean isAtLeast(TaskSize other) {
    return reserved.holds(other.reserved)
        && need.holds(other.need)
        && (other.requiredLabel.isEmpty() || other.requiredLabel.equals(requiredLabel));
  }
}
