package org.laburnumarch.internal.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/**
 * The event loop of a daemon: a single thread for its sockets, timers and decisions. Sharing the
 * thread avoids handing each message to another one; nothing may block on it.
 */
public final class EventLoopThread implements AutoCloseable {

  private static final long QUIET_PERIOD_MS = 0;
  private static final long CLOSE_TIMEOUT_MS = 500;

  private final EventLoopGroup group;
  private final IoExecutor ioExecutor;
  private final Executor timer;

  /** Starts the thread. */
  public EventLoopThread() {
    this.group = Epoll.isAvailable() ? new EpollEventLoopGroup(1) : new NioEventLoopGroup(1);
    this.ioExecutor = NettyIoExecutors.fromNettyEventLoopGroup(group, false);
    this.timer = new ResponsiveTimer(Executors.from(group.next()));
  }

  /** Returns the event loop group of this one thread, for sockets of other protocols. */
  public EventLoopGroup group() {
    return group;
  }

  /** Runs a task on the thread; a failure of the task is logged. */
  public void execute(Runnable task) {
    group.next().execute(withFailureLogged(task));
  }

  /**
   * Runs an action on the thread and waits for its result. Must not be called on that thread.
   *
   * @throws ExecutionException if the action fails, with its failure as the cause
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public <T> T call(Callable<T> action) throws ExecutionException, InterruptedException {
    return group.next().submit(action).get();
  }

  /** Runs a task on the thread after a delay; a failure of the task is logged. */
  public void schedule(long delayMs, Runnable task) {
    Future<?> unused =
        group.next().schedule(withFailureLogged(task), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns a callback that logs its own failures. A completion stage drops an exception that a
   * callback throws, so that nothing would show why its work was not done.
   */
  public static <T> BiConsumer<T, Throwable> logged(BiConsumer<T, Throwable> callback) {
    return (result, failure) -> withFailureLogged(() -> callback.accept(result, failure)).run();
  }

  private static Runnable withFailureLogged(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        Logger.error(e, "loop: event=task-failed");
      }
    };
  }

  IoExecutor ioExecutor() {
    return ioExecutor;
  }

  Executor timer() {
    return timer;
  }

  /** Stops the thread and closes all sockets that are still open. */
  @Override
  public void close() {
    Future<?> unused =
        group.shutdownGracefully(QUIET_PERIOD_MS, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
