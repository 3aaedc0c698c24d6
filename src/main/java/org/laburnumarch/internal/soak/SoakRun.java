package org.laburnumarch.internal.soak;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.platform.standin.StartDelayChecker;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * One run of the soak test: a quiet start, then overlapping random faults or planned work, then a
 * quiet time in which all accepted work must finish.
 */
final class SoakRun implements AutoCloseable {

  /** Name of the file that records the events on the workers, to analyse a breach. */
  private static final String EVENTS_FILE = "workers.log";

  private static final long FAULT_FREE_START_MS = 5_000;

  /** Time after the end of an event until all daemons that have exited are started. */
  private static final long START_DELAY_MS = 4_500;

  /** Time after the end of submissions and faults from which no work may wait without a reason. */
  private static final long FINISH_MS = 14_000;

  private static final long CHECK_INTERVAL_MS = 250;

  /** Longest time after the last event until all daemons are ready again. */
  private static final long MAX_RESTART_MS = 30_000;

  private static final long START_CHECK_INTERVAL_MS = 100;

  /** Time after the last unplanned event from which waits count. */
  private static final long UNSETTLED_MS = 4_000;

  /** Lag of this process's timer that shows that the machine is short of processor time. */
  private static final long MAX_LAG_MS = 100;

  private static final int REPLACEMENT_WORKERS = 60;

  /** The result of a run. */
  record Result(
      long seed,
      List<String> breaches,
      List<String> faults,
      long acceptedJobs,
      long starts,
      long answers,
      long unanswered,
      long slowestAnswerMs,
      long maxStartDelayMs,
      long startChecks,
      long lateStartChecks,
      long settledAfterMs) {}

  private final SoakKind kind;
  private final SoakLoad load;
  private final List<SoakEvent> possibleEvents = new ArrayList<>();
  private final long seed;
  private final long faultsMs;
  private final EventLoopThread loop = new EventLoopThread();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final PrintStream events;
  private final InvariantChecker checker;
  private final StartDelayChecker startDelays;
  private final Random random;
  private final SoakFleet fleet;
  private final SoakCallers callers;
  private final List<String> injectedFaults = new ArrayList<>();

  /** Kills the daemons if this process is terminated during a run. */
  private final Thread shutdownHook = new Thread(this::killDaemons, "kill-daemons");

  private Optional<CpuQuota> cpuQuota = Optional.empty();
  private SoakEnding ending = SoakEnding.NONE;
  private int activeFaults;
  private long waitsCountFromMs = Long.MIN_VALUE;
  private long startChecks;

  /** Checks that came so late that all waits had to begin anew. */
  private long lateStartChecks;

  private boolean isClosed;

  /** Prepares a run with short tasks. */
  SoakRun(SoakKind kind, long seed, int daemons, long faultsMs, Path directory, int firstPort)
      throws Exception {
    this(kind, SoakLoad.SHORT_TASKS, seed, daemons, faultsMs, directory, firstPort);
  }

  /**
   * Prepares a run.
   *
   * @param faultsMs how long faults are injected
   * @throws Exception if an address cannot be bound or a file cannot be written
   */
  SoakRun(
      SoakKind kind,
      SoakLoad load,
      long seed,
      int daemons,
      long faultsMs,
      Path directory,
      int firstPort)
      throws Exception {
    this.kind = kind;
    this.load = load;
    this.possibleEvents.addAll(kind.events());
    if (!kind.isPlanned()) {
      this.possibleEvents.addAll(load.faults());
    }
    this.seed = seed;
    this.faultsMs = faultsMs;
    this.random = new Random(seed);
    this.events =
        new PrintStream(
            Files.newOutputStream(directory.resolve(EVENTS_FILE)), false, StandardCharsets.UTF_8);
    this.checker = new InvariantChecker(new SuspendAwareClock(), events::println, load.layout());
    this.startDelays = new StartDelayChecker(checker);
    this.fleet =
        new SoakFleet(
            directory,
            firstPort,
            daemons + kind.spareDaemons(),
            loop,
            clock,
            checker,
            load.layout(),
            kind.isOfConnections(),
            random.nextLong());
    fleet.setAside(kind.spareDaemons());
    this.callers =
        new SoakCallers(
            fleet.daemons(), loop, clock, checker, load, random.nextLong(), kind.isPlanned());
    if (kind != SoakKind.FAULTS) {
      fleet.bindReplacements(Math.min(REPLACEMENT_WORKERS, fleet.freeWorkerAddresses()));
    }
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /** Runs the daemons from another build; must be called before {@link #run}. */
  void useDaemonJar(Path jar) {
    fleet.daemons().forEach(daemon -> daemon.useJar(jar));
  }

  /** Runs the daemons with the options of a deployment; must be called before {@link #run}. */
  void useDaemonArchive(Path archive) {
    fleet.daemons().forEach(daemon -> daemon.useArchive(archive));
  }

  /**
   * Limits the processor time of each daemon in a tenth of a second, unless {@code quotaMs} is 0.
   */
  void limitCpu(int quotaMs) {
    if (quotaMs > 0) {
      List<Supplier<OptionalLong>> pids = new ArrayList<>();
      fleet.daemons().forEach(daemon -> pids.add(daemon::runningPid));
      cpuQuota = Optional.of(new CpuQuota(pids, quotaMs));
    }
  }

  /** Sets the last event of the run; must be called before {@link #run}. */
  void endWith(SoakEnding ending) {
    this.ending = ending;
    callers.expectAnswers(isPlanned());
  }

  /** Returns whether nothing unplanned happens, so that no request and no start may be lost. */
  private boolean isPlanned() {
    return kind.isPlanned() && ending == SoakEnding.NONE;
  }

  private void killDaemons() {
    fleet.daemons().forEach(DaemonProcess::kill);
  }

  /** Executes the run. */
  Result run() throws Exception {
    loop.call(
        () -> {
          fleet.platform().start();
          fleet.daemons().forEach(fleet::start);
          callers.start();
          if (isPlanned() || kind.isJudgedWhileCalm()) {
            checkStartDelays(clock.nowMs());
          }
          return null;
        });
    TimeUnit.MILLISECONDS.sleep(FAULT_FREE_START_MS);
    long faultsUntilMs = System.currentTimeMillis() + faultsMs;
    while (System.currentTimeMillis() < faultsUntilMs) {
      injectSeries(faultsUntilMs);
      if (System.currentTimeMillis() < faultsUntilMs) {
        awaitEndOfFaults();
        TimeUnit.MILLISECONDS.sleep(kind.calmMs(random));
      }
    }
    loop.execute(fleet.restarts()::endSeries);
    if (ending != SoakEnding.NONE) {
      loop.call(
          () -> {
            inject(ending);
            return null;
          });
      TimeUnit.MILLISECONDS.sleep(ending.trafficMs(random));
    }
    awaitEndOfFaults();
    loop.call(
        () -> {
          if (!fleet.restarts().isIdle()) {
            checker.recordBreach("LOST", "a daemon is not ready again after its restart");
          }
          callers.stopSubmitting();
          if (!isPlanned() && !kind.isJudgedWhileCalm()) {
            loop.schedule(FINISH_MS, () -> checkStartDelays(clock.nowMs()));
          }
          return null;
        });
    long settledAfterMs = awaitSettled();
    return loop.call(() -> result(settledAfterMs));
  }

  private void injectSeries(long untilMs) throws Exception {
    int remaining = kind.seriesLength(random);
    while (remaining-- > 0 && System.currentTimeMillis() < untilMs) {
      loop.call(
          () -> {
            injectFault();
            return null;
          });
      TimeUnit.MILLISECONDS.sleep(random.nextInt(kind.maxIntervalMs()));
    }
  }

  private void awaitEndOfFaults() throws Exception {
    long untilMs = System.currentTimeMillis() + MAX_RESTART_MS;
    while (loop.call(() -> activeFaults > 0 || !fleet.isQuiet())
        && System.currentTimeMillis() < untilMs) {
      TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
    }
  }

  private void injectFault() {
    if (possibleEvents.isEmpty()) {
      return;
    }
    inject(possibleEvents.get(random.nextInt(possibleEvents.size())));
  }

  private void inject(SoakEvent fault) {
    long durationMs = fault.durationMs(random);
    injectedFaults.add(clock.epochMs() + " " + fault + " for " + durationMs + " ms");
    Logger.info("soak: seed={} fault={} lastsMs={}", seed, fault, durationMs);
    Runnable end = fault.inject(fleet, kind.eventRandom(random));
    activeFaults++;
    loop.schedule(
        durationMs,
        () -> {
          activeFaults--;
          waitsCountFromMs = clock.nowMs() + UNSETTLED_MS;
          end.run();
          // A daemon that received SIGTERM may still be shutting down now, so start it again later.
          loop.schedule(START_DELAY_MS, () -> fleet.daemons().forEach(fleet::start));
        });
  }

  private void checkStartDelays(long expectedAtMs) {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    boolean isUnsettled = !isPlanned() && (activeFaults > 0 || nowMs < waitsCountFromMs);
    boolean isLate = nowMs - expectedAtMs > MAX_LAG_MS;
    startChecks++;
    lateStartChecks += isLate ? 1 : 0;
    if (isUnsettled || isLate) {
      startDelays.restart();
    }
    startDelays.check(fleet.platform().readyWorkers(), nowMs);
    loop.schedule(START_CHECK_INTERVAL_MS, () -> checkStartDelays(nowMs + START_CHECK_INTERVAL_MS));
  }

  /**
   * Waits until all accepted work is finished; returns how long that took. Records a breach for
   * what is unfinished after the time limit.
   */
  private long awaitSettled() throws Exception {
    long startedAtMs = System.currentTimeMillis();
    while (System.currentTimeMillis() - startedAtMs < load.maxSettleMs()) {
      if (loop.call(checker::unfinishedWork).isEmpty()) {
        return System.currentTimeMillis() - startedAtMs;
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
    }
    loop.call(
        () -> {
          checker.unfinishedWork().forEach(unfinished -> checker.recordBreach("LOST", unfinished));
          return null;
        });
    return load.maxSettleMs();
  }

  private Result result(long settledAfterMs) {
    return new Result(
        seed,
        checker.breaches(),
        List.copyOf(injectedFaults),
        checker.acceptedJobs(),
        checker.starts(),
        callers.responses(),
        callers.unanswered(),
        callers.maxResponseMs(),
        startDelays.maxDelayMs(),
        startChecks,
        lateStartChecks,
        settledAfterMs);
  }

  /** Kills all processes and closes all addresses. */
  @Override
  public void close() {
    cpuQuota.ifPresent(CpuQuota::close);
    CompletableFuture<Void> closed = new CompletableFuture<>();
    loop.execute(
        () -> {
          isClosed = true;
          callers.close();
          fleet.close();
          closed.complete(null);
        });
    closed.join();
    loop.close();
    events.close();
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
  }
}
