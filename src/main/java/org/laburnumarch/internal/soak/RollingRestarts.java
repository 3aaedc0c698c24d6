package org.laburnumarch.internal.soak;

import io.servicetalk.http.api.HttpRequestMethod;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Restarts daemons in series that may overlap. Each gets SIGTERM, and SIGKILL at the end of the
 * grace period; it starts again when its process has gone. Half of the daemons, rounded down, are
 * always left running. Methods must be called on the event loop's thread.
 */
final class RollingRestarts implements AutoCloseable {

  private static final int MAX_SERIES = 2;
  private static final long GRACE_MS = 6_000;
  private static final int MAX_PAUSE_MS = 5_000;

  /** Longest time between two signals to the same daemon. */
  private static final int MAX_SECOND_SIGNAL_MS = 3_500;

  private static final long NO_SECOND_SIGNAL_MS = Long.MAX_VALUE / 2;
  private static final long CHECK_INTERVAL_MS = 50;
  private static final long READINESS_TIMEOUT_MS = 500;
  private static final int OK = 200;

  private final List<DaemonProcess> daemons;
  private final Consumer<DaemonProcess> starter;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final Map<DaemonProcess, PlatformHttpClient> readiness = new HashMap<>();

  /** Daemons that were told to stop and are not ready again. */
  private final Set<DaemonProcess> restarting = new HashSet<>();

  private int activeSeries;
  private boolean isEnding;
  private boolean isClosed;

  /**
   * Creates a planner without series.
   *
   * @param starter starts a daemon whose process has gone
   */
  RollingRestarts(
      List<DaemonProcess> daemons,
      Consumer<DaemonProcess> starter,
      EventLoopThread loop,
      SuspendAwareClock clock) {
    this.daemons = daemons;
    this.starter = starter;
    this.loop = loop;
    this.clock = clock;
    for (DaemonProcess daemon : daemons) {
      readiness.put(daemon, new PlatformHttpClient(daemon.readinessAddress(), loop));
    }
  }

  /** Begins a series with all daemons in random order, unless enough others are going on. */
  void restartAll(int groupSize, boolean isSignalledTwice, Random random) {
    if (activeSeries == MAX_SERIES) {
      return;
    }
    activeSeries++;
    List<DaemonProcess> order = new ArrayList<>(daemons);
    Collections.shuffle(order, random);
    long pauseMs = random.nextInt(random.nextBoolean() ? MAX_PAUSE_MS / 10 : MAX_PAUSE_MS);
    long secondSignalMs =
        isSignalledTwice ? 1L + random.nextInt(MAX_SECOND_SIGNAL_MS) : NO_SECOND_SIGNAL_MS;
    restartNext(new ArrayDeque<>(order), groupSize, pauseMs, secondSignalMs);
  }

  private void restartNext(
      Deque<DaemonProcess> remaining, int groupSize, long pauseMs, long secondSignalMs) {
    if (remaining.isEmpty() || isEnding) {
      activeSeries--;
      return;
    }
    List<DaemonProcess> group = remaining.stream().limit(groupSize).toList();
    Set<DaemonProcess> stopped = new HashSet<>(restarting);
    boolean canStop =
        Collections.disjoint(group, restarting)
            && stopped.addAll(group)
            && daemons.size() - stopped.size() >= daemons.size() / 2;
    if (canStop) {
      remaining.removeAll(group);
      group.forEach(daemon -> restart(daemon, secondSignalMs));
    }
    loop.schedule(
        canStop ? pauseMs : CHECK_INTERVAL_MS,
        () -> restartNext(remaining, groupSize, pauseMs, secondSignalMs));
  }

  /** Restarts one daemon, unless it restarts already or too few others would be left. */
  void restart(DaemonProcess daemon) {
    if (!restarting.contains(daemon) && daemons.size() - restarting.size() > daemons.size() / 2) {
      restart(daemon, NO_SECOND_SIGNAL_MS);
    }
  }

  private void restart(DaemonProcess daemon, long secondSignalMs) {
    restarting.add(daemon);
    Logger.info("soak: {} gets SIGTERM", daemon.name());
    ProcessHandle stopping = daemon.lastProcess();
    stopping.destroy();
    long nowMs = clock.nowMs();
    awaitExit(daemon, stopping, nowMs + secondSignalMs, nowMs + GRACE_MS);
  }

  private void awaitExit(
      DaemonProcess daemon, ProcessHandle stopping, long secondSignalAtMs, long killAtMs) {
    // Others may have started the daemon again, so the signals go to the process that is stopping.
    if (!stopping.isAlive()) {
      starter.accept(daemon);
      awaitReady(daemon);
      return;
    }
    boolean isSignalDue = clock.nowMs() >= secondSignalAtMs;
    if (isSignalDue) {
      Logger.info("soak: {} gets a second SIGTERM", daemon.name());
      stopping.destroy();
    }
    if (clock.nowMs() >= killAtMs) {
      stopping.destroyForcibly();
    }
    loop.schedule(
        CHECK_INTERVAL_MS,
        () ->
            awaitExit(daemon, stopping, isSignalDue ? Long.MAX_VALUE : secondSignalAtMs, killAtMs));
  }

  private void awaitReady(DaemonProcess daemon) {
    readiness
        .get(daemon)
        .call(
            HttpRequestMethod.GET, "/v1/ready", new byte[0], READINESS_TIMEOUT_MS, Response::status)
        .whenComplete(
            (status, failure) -> {
              if (failure == null && status == OK) {
                restarting.remove(daemon);
              } else if (!isClosed) {
                loop.schedule(CHECK_INTERVAL_MS, () -> awaitReady(daemon));
              }
            });
  }

  /** Ends all series after the restarts that have begun. */
  void endSeries() {
    isEnding = true;
  }

  /** Returns whether no series goes on and all daemons are ready again. */
  boolean isIdle() {
    return activeSeries == 0 && restarting.isEmpty();
  }

  /** Closes the connections. */
  @Override
  public void close() {
    isClosed = true;
    endSeries();
    readiness.values().forEach(PlatformHttpClient::close);
  }
}
