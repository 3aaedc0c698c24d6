package org.laburnumarch.spi;

import java.util.concurrent.CompletionStage;

/** Communicates with the platform's workers; stages fail with {@link PlatformException}. */
public interface WorkerControl {

  /**
   * Sends an order and returns the report that the worker sends in response.
   *
   * <p>An order may be repeated, since a worker starts an attempt at most once. If the stage fails,
   * the order may have been carried out.
   */
  CompletionStage<WorkerReport> exchange(String worker, WorkerOrder order);
}
