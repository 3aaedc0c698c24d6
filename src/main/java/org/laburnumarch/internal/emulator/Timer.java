package org.laburnumarch.internal.emulator;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Runs actions on a single background thread, at once or later. */
final class Timer implements Executor, AutoCloseable {

  private final ScheduledExecutorService executor;

  /** Starts a timer whose thread has the given name. */
  Timer(String name) {
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Runs an action after a delay, unless the timer is closed before. */
  void schedule(long delay, TimeUnit unit, Runnable action) {
    try {
      Future<?> unused = executor.schedule(() -> runAndLogFailure(action), delay, unit);
    } catch (RejectedExecutionException e) {
      Logger.debug("emulator: action dropped, the timer is closed");
    }
  }

  /** Runs an action periodically until the timer is closed. */
  void scheduleAtFixedRate(long period, TimeUnit unit, Runnable action) {
    Future<?> unused =
        executor.scheduleAtFixedRate(() -> runAndLogFailure(action), 0, period, unit);
  }

  @Override
  public void execute(Runnable action) {
    schedule(0, TimeUnit.NANOSECONDS, action);
  }

  private static void runAndLogFailure(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      Logger.error(e, "emulator: scheduled action failed");
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
