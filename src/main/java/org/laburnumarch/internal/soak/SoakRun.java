package org.laburnumarch.internal.soak;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.platform.standin.PromiseJudge;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/** One run of the soak: a calm start, faults in series and at the same time, and a calm end. */
final class SoakRun implements AutoCloseable {

  /** Takes what happens on the workers, to trace a breach by. */
  private static final String EVENTS_FILE = "workers.log";

  private static final long CALM_START_MS = 5_000;

  /** Longest pause between two faults; they last longer, so that they overlap. */
  private static final int MAX_PAUSE_MS = 1_800;

  private static final long MIN_FAULT_MS = 200;
  private static final int MAX_FAULT_MS = 4_500;

  /**
   * Time after the last fault by which every accepted job must have ended and every lasting task
   * must run: the longest lease, a take-over and the longest job.
   */
  private static final long SETTLE_MS = 20_000;

  private static final long CHECK_EVERY_MS = 250;

  /** What a run found. */
  record Result(
      long seed,
      List<String> breaches,
      List<String> faults,
      long acceptedJobs,
      long starts,
      long answers,
      long unanswered,
      long slowestAnswerMs,
      long settledAfterMs) {}

  private final long seed;
  private final long faultsMs;
  private final HttpLoop loop = new HttpLoop();
  private final LocalClock clock = new LocalClock();
  private final PrintStream events;
  private final PromiseJudge judge;
  private final Random random;
  private final SoakFleet fleet;
  private final SoakCallers callers;
  private final List<String> struck = new ArrayList<>();

  /** Ends the daemons if this process is told to end in the middle of a run. */
  private final Thread onShutdown = new Thread(this::killDaemons, "kill-daemons");

  private int openFaults;

  /**
   * Prepares a run.
   *
   * @param faultsMs how long faults strike
   * @throws Exception if an address cannot be bound or a file cannot be written
   */
  SoakRun(long seed, int daemons, long faultsMs, Path directory, int firstPort) throws Exception {
    this.seed = seed;
    this.faultsMs = faultsMs;
    this.random = new Random(seed);
    this.events =
        new PrintStream(
            Files.newOutputStream(directory.resolve(EVENTS_FILE)), false, StandardCharsets.UTF_8);
    this.judge = new PromiseJudge(clock, events::println);
    this.fleet =
        new SoakFleet(directory, firstPort, daemons, loop, clock, judge, random.nextLong());
    this.callers = new SoakCallers(fleet.daemons(), loop, clock, judge, random.nextLong());
    Runtime.getRuntime().addShutdownHook(onShutdown);
  }

  private void killDaemons() {
    fleet.daemons().forEach(DaemonProcess::kill);
  }

  /** Runs to the end. */
  Result run() throws Exception {
    loop.call(
        () -> {
          fleet.platform().start();
          fleet.daemons().forEach(fleet::start);
          callers.start();
          return null;
        });
    TimeUnit.MILLISECONDS.sleep(CALM_START_MS);
    long faultsUntilMs = System.currentTimeMillis() + faultsMs;
    while (System.currentTimeMillis() < faultsUntilMs) {
      loop.call(
          () -> {
            strike();
            return null;
          });
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MS));
    }
    while (loop.call(() -> openFaults) > 0) {
      TimeUnit.MILLISECONDS.sleep(CHECK_EVERY_MS);
    }
    loop.call(
        () -> {
          callers.stopSubmitting();
          return null;
        });
    long settledAfterMs = settle();
    return loop.call(() -> result(settledAfterMs));
  }

  private void strike() {
    SoakFault[] kinds = SoakFault.values();
    SoakFault fault = kinds[random.nextInt(kinds.length)];
    long lastsMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS);
    struck.add(clock.epochMs() + " " + fault + " for " + lastsMs + " ms");
    Logger.info("soak: seed={} fault={} lastsMs={}", seed, fault, lastsMs);
    Runnable end = fault.strike(fleet, random);
    openFaults++;
    loop.after(
        lastsMs,
        () -> {
          openFaults--;
          end.run();
          // A process that was told to stop ends in its own time.
          loop.after(MAX_FAULT_MS, () -> fleet.daemons().forEach(fleet::start));
        });
  }

  /** Waits until all accepted work is done; returns how long that took. */
  private long settle() throws Exception {
    long startedAtMs = System.currentTimeMillis();
    while (System.currentTimeMillis() - startedAtMs < SETTLE_MS) {
      if (loop.call(judge::unfinished).isEmpty()) {
        return System.currentTimeMillis() - startedAtMs;
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_EVERY_MS);
    }
    loop.call(
        () -> {
          judge.unfinished().forEach(open -> judge.breach("LOST", open));
          return null;
        });
    return SETTLE_MS;
  }

  private Result result(long settledAfterMs) {
    return new Result(
        seed,
        judge.breaches(),
        List.copyOf(struck),
        judge.acceptedJobs(),
        judge.starts(),
        callers.answers(),
        callers.failures(),
        callers.slowestAnswerMs(),
        settledAfterMs);
  }

  /** Ends all processes and closes all addresses. */
  @Override
  public void close() {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    loop.execute(
        () -> {
          callers.close();
          fleet.close();
          closed.complete(null);
        });
    closed.join();
    loop.close();
    events.close();
    Runtime.getRuntime().removeShutdownHook(onShutdown);
  }
}
