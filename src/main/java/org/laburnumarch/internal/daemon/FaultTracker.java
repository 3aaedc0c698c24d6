package org.laburnumarch.internal.daemon;

import com.codahale.metrics.Counter;
import org.tinylog.Logger;

/**
 * Counts the failures of a repeated action. Logs only the first failure of a series and the success
 * that ends it.
 */
final class FaultTracker {
  private final Counter counter;
  private final String action;
  private boolean isFailing;

  /**
   * Creates a tracker for one action.
   *
   * @param counter counts every failure
   * @param action the action as it appears in log lines, with the prefix of its part, for example
   *     {@code log: Reading the control log}
   */
  FaultTracker(Counter counter, String action) {
    this.counter = counter;
    this.action = action;
  }

  /** Records a failure. */
  void onFailure(Throwable failure) {
    counter.inc();
    if (!isFailing) {
      isFailing = true;
      Logger.warn("{} fails: {}", action, failure.getMessage());
    }
  }

  /** Records a success. */
  void onSuccess() {
    if (isFailing) {
      isFailing = false;
      Logger.info("{} works again; {} failures since the start.", action, counter.getCount());
    }
  }
}
