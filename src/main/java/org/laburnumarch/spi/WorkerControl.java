package org.laburnumarch.spi;

import java.util.concurrent.CompletionStage;

/** The platform's workers; stages fail with {@link PlatformException}. */
public interface WorkerControl {

  /**
   * Sends an order and fetches what the worker then reports.
   *
   * <p>An order may be repeated: a worker starts an attempt at most once. If the stage fails, the
   * order may have been carried out.
   */
  CompletionStage<WorkerReport> exchange(String worker, WorkerOrder order);
}
