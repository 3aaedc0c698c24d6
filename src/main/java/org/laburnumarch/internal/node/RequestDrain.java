package org.laburnumarch.internal.node;

import io.servicetalk.concurrent.api.Completable;
import java.util.List;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Closes the connections of callers when a daemon stops. A request that has been read gets its
 * answer before its connection is closed; one that still waits when the grace period ends is
 * answered without the owner. Used on one thread only.
 */
final class RequestDrain {

  /** Time before the end of the grace period at which no request waits any longer. */
  private static final long LAST_ANSWERS_MS = 500;

  /** Time before the end of the grace period that is left to the end of the process. */
  private static final long PROCESS_END_MS = 250;

  /**
   * Time without any request after which the connections are closed. Callers that keep a connection
   * open would otherwise delay the stop.
   */
  private static final long IDLE_MS = 100;

  private static final long IDLE_CHECK_EVERY_MS = 20;

  /**
   * Turns of the event loop in which it accepts the connections that have been opened and reads
   * what has arrived on them. It accepts a connection and reads from it in different turns.
   */
  private static final int READ_TURNS = 4;

  private static final long TURN_EVERY_MS = 5;

  /** Longest time for these turns. What arrives meanwhile may be unread at the close. */
  private static final long MAX_READ_MS = 100;

  /**
   * Time after which the connections are closed although the event loop is late: what it accepts
   * until the process is killed would be lost.
   */
  private static final long MAX_POSTPONEMENT_MS = 500;

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final JobRouter router;
  private final Supplier<Completable> gracefulClose;
  private final Runnable onDrained;
  private long lastBusyAtMs;
  private boolean isClosing;
  private boolean isDrained;

  /**
   * Creates a drain.
   *
   * @param gracefulClose ends idle connections at once, and the others after their responses
   * @param onDrained run once, when all requests are answered or the grace period is about to end
   */
  RequestDrain(
      EventLoopThread loop,
      SuspendAwareClock clock,
      JobRouter router,
      Supplier<Completable> gracefulClose,
      Runnable onDrained) {
    this.loop = loop;
    this.clock = clock;
    this.router = router;
    this.gracefulClose = gracefulClose;
    this.onDrained = onDrained;
  }

  /**
   * Starts the drain; connections stay open until {@link #closeConnections}, if that is in time.
   *
   * @param graceEndsAtMs local time at which the process may be killed
   */
  void start(long graceEndsAtMs) {
    long remainingMs = graceEndsAtMs - clock.nowMs();
    loop.schedule(Math.max(0, remainingMs - LAST_ANSWERS_MS), this::answerRemaining);
    loop.schedule(Math.max(0, remainingMs - PROCESS_END_MS), this::finish);
  }

  /** Accepts no more connections, and ends each open one as soon as it has no open request. */
  void closeConnections() {
    if (isClosing) {
      return;
    }
    isClosing = true;
    Logger.info(
        "node: event=draining requests={} longestWaitMs={}",
        router.pendingRequests(),
        router.longestWaitMs());
    router.stopWaitingForOwner();
    closeWhenRead(clock.nowMs() + MAX_POSTPONEMENT_MS);
  }

  /** Closes the connections once an event loop that was late has caught up, or at a deadline. */
  private void closeWhenRead(long deadlineMs) {
    long startedAtMs = clock.nowMs();
    runAfterTurns(
        READ_TURNS,
        () -> {
          long nowMs = clock.nowMs();
          long durationMs = nowMs - startedAtMs;
          if (isDrained) {
            return;
          }
          if (durationMs > MAX_READ_MS && nowMs < deadlineMs) {
            Logger.info("node: event=close-postponed eventLoopDelayMs={}", durationMs);
            closeWhenRead(deadlineMs);
            return;
          }
          gracefulClose.get().afterFinally(() -> loop.execute(this::finish)).subscribe();
          lastBusyAtMs = nowMs;
          awaitIdle();
        });
  }

  /** Runs a task later. The event loop reads from its sockets before each turn. */
  private void runAfterTurns(int turns, Runnable task) {
    loop.schedule(TURN_EVERY_MS, turns == 1 ? task : () -> runAfterTurns(turns - 1, task));
  }

  private void awaitIdle() {
    long nowMs = clock.nowMs();
    if (router.pendingRequests() > 0) {
      lastBusyAtMs = nowMs;
    }
    if (nowMs - lastBusyAtMs >= IDLE_MS) {
      finish();
    } else if (!isDrained) {
      loop.schedule(IDLE_CHECK_EVERY_MS, this::awaitIdle);
    }
  }

  private void answerRemaining() {
    if (isDrained) {
      return;
    }
    List<JobReply> answers = router.close();
    long undecided = answers.stream().filter(answer -> answer.code() == Code.UNDECIDED).count();
    Logger.info(
        "node: event=drain-timeout refused={} undecided={}", answers.size() - undecided, undecided);
    closeConnections();
  }

  private void finish() {
    if (!isDrained) {
      isDrained = true;
      onDrained.run();
    }
  }
}
