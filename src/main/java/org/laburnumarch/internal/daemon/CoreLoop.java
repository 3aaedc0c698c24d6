package org.laburnumarch.internal.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.laburnumarch.internal.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * The single thread on which a daemon makes decisions about the control log, its members and its
 * allowances.
 *
 * <p>Tasks must not block. An exception in a task is logged and does not affect other tasks.
 */
final class CoreLoop implements AutoCloseable {
  private static final long CLOSE_WAIT_MS = 1_000;

  private final MonotonicClock clock;
  private final ScheduledThreadPoolExecutor executor;

  CoreLoop(MonotonicClock clock) {
    this.clock = clock;
    this.executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "core");
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Returns the current instant of the daemon's monotonic clock. */
  long nowMs() {
    return clock.nowMs();
  }

  /** Queues a task; a task that is submitted after closing is dropped. */
  void execute(Runnable task) {
    try {
      executor.execute(() -> runSafely(task));
    } catch (RejectedExecutionException e) {
      Logger.debug("daemon: Dropped a task submitted after the core loop was closed.");
    }
  }

  /**
   * Queues a task and completes the stage with its result or exception; after closing, the stage
   * never completes.
   */
  <T> CompletionStage<T> call(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    execute(
        () -> {
          try {
            result.complete(task.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result;
  }

  /** Runs a task after a delay; a task that is submitted after closing is dropped. */
  void schedule(long delayMs, Runnable task) {
    try {
      var unused = executor.schedule(() -> runSafely(task), delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      Logger.debug("daemon: Dropped a task submitted after the core loop was closed.");
    }
  }

  /** Runs a task repeatedly, with a pause between the end of one run and the start of the next. */
  void repeat(long pauseMs, Runnable task) {
    var unused =
        executor.scheduleWithFixedDelay(
            () -> runSafely(task), pauseMs, pauseMs, TimeUnit.MILLISECONDS);
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      // The executor would not run a repeated task again after an exception.
      Logger.error(e, "daemon: A task of the core loop failed.");
    }
  }

  @Override
  public void close() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(CLOSE_WAIT_MS, TimeUnit.MILLISECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException e) {
      executor.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
