package org.laburnumarch.internal.http;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.DelegatingExecutor;
import io.servicetalk.concurrent.api.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Measures delays in parts, so that a time for which the event loop is busy counts for no more than
 * one part. Load: a daemon that lacks processor time must not take for the silence of a peer what
 * it has kept waiting itself, because it has not yet sent the request or read the response.
 */
final class ResponsiveTimer extends DelegatingExecutor {

  private static final int PARTS = 4;

  /** Creates a timer that runs its tasks on the thread of an executor. */
  ResponsiveTimer(Executor executor) {
    super(executor);
  }

  @Override
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    Parts parts = new Parts(task, unit.toNanos(delay) / PARTS);
    parts.scheduleNext();
    return parts;
  }

  /** The parts of one delay. */
  private final class Parts implements Cancellable {

    private final Runnable task;
    private final long partNs;
    private int remaining = PARTS;
    private boolean isCancelled;
    private Cancellable current = IGNORE_CANCEL;

    private Parts(Runnable task, long partNs) {
      this.task = task;
      this.partNs = partNs;
    }

    private synchronized void scheduleNext() {
      if (!isCancelled) {
        current = delegate().schedule(this::onPartOver, partNs, TimeUnit.NANOSECONDS);
      }
    }

    private void onPartOver() {
      remaining--;
      if (remaining == 0) {
        task.run();
      } else {
        scheduleNext();
      }
    }

    @Override
    public synchronized void cancel() {
      isCancelled = true;
      current.cancel();
    }
  }
}
