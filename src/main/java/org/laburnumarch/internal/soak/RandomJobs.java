package org.laburnumarch.internal.soak;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Base of the job sources. The order of random draws is part of each seed, so a subclass draws a
 * job's id before its team.
 */
abstract class RandomJobs implements JobSource {

  /** How long a queue is busy before the next one is. */
  private static final long TURN_MS = 4_500;

  private static final double MS_PER_SECOND = 1_000;

  final Random random;
  private final SuspendAwareClock clock;
  private final long submitIntervalMs;
  private int nextJobNumber;

  RandomJobs(Random random, SuspendAwareClock clock, long submitIntervalMs) {
    this.random = random;
    this.clock = clock;
    this.submitIntervalMs = submitIntervalMs;
  }

  @Override
  public final long intervalMs() {
    return submitIntervalMs;
  }

  @Override
  public OptionalLong repeatDelayMs(JobSpec job) {
    return OptionalLong.empty();
  }

  /** Returns the number of ids that have been drawn. */
  final int drawnIds() {
    return nextJobNumber;
  }

  /** Draws the id of a new job. */
  final String nextId() {
    return String.format(Locale.ROOT, "%08x%08x", random.nextInt(), nextJobNumber++);
  }

  /** Draws one of the usual teams. */
  final String nextTeam() {
    return PlatformStandIn.TEAMS.get(random.nextInt(PlatformStandIn.TEAMS.size()));
  }

  final JobSpec job(String id, String queue, String team, String program, List<StepSpec> steps) {
    return new JobSpec(id, queue, team, program, steps, 0, 0, 0, clock.epochMs());
  }

  /** Returns which queue is busy; they are in turn. */
  static <T> T busyQueue(T[] queues, long elapsedMs) {
    return queues[(int) (elapsedMs / TURN_MS % queues.length)];
  }

  /** Draws whether a job arrives within one interval. */
  final boolean arrives(double jobsPerSecond) {
    return random.nextDouble() < jobsPerSecond * (submitIntervalMs / MS_PER_SECOND);
  }
}
