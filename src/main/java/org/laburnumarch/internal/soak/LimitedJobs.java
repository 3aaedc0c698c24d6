package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.PlatformLayout.Route;
import org.laburnumarch.internal.platform.standin.TaskProgram;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Submits jobs whose steps limit their tasks on one worker, so many that dozens of steps wait for
 * other workers while most of their pool is free. In the small pools, these are long-running jobs
 * that are one worker short until they are cancelled; in the largest, long-running jobs that are
 * short only while two of its workers are missing. Some jobs need more than any worker has and are
 * cancelled, too.
 */
final class LimitedJobs extends RandomJobs {

  private static final long SUBMIT_INTERVAL_MS = 20;

  private static final double BUSY_FACTOR = 2;
  private static final double IDLE_FACTOR = 0.5;

  private static final double LIMITED_FRACTION = 0.7;
  private static final int MAX_TASKS_PER_WORKER = 2;
  private static final int MIN_TASKS = 2;
  private static final int MAX_TASKS = 6;

  private static final double CANCELLED_FRACTION = 0.05;
  private static final int MAX_CANCEL_MS = 4_000;

  private static final double OVERSIZED_FRACTION = 0.03;
  private static final Resources OVERSIZED = new Resources(40_000, 4_000, 0);
  private static final int OVERSIZED_CANCEL_MS = 12_000;

  /** When a long-running job with more tasks than its pool has workers is cancelled. */
  private static final int MIN_WIDE_CANCEL_MS = 12_000;

  private static final int MAX_WIDE_CANCEL_MS = 18_000;

  private static final long LONG_RUNNING_FROM_MS = 3_500;
  private static final long LONG_RUNNING_INTERVAL_MS = 240;
  private static final Resources LONG_RUNNING_NEED = new Resources(120, 240, 0);

  /** A queue and the pool that serves it. */
  enum Queue {
    STAMPS("stamps", 3, 3, 28, 4),
    SEALS("seals", 3, 3, 28, 4),
    LABELS("labels", 6, 3, 28, 5);

    private final String label;
    private final int workers;
    private final double jobsPerSecond;
    private final int longRunningJobs;
    private final int longRunningTasks;

    Queue(
        String label,
        int workers,
        double jobsPerSecond,
        int longRunningJobs,
        int longRunningTasks) {
      this.label = label;
      this.workers = workers;
      this.jobsPerSecond = jobsPerSecond;
      this.longRunningJobs = longRunningJobs;
      this.longRunningTasks = longRunningTasks;
    }

    /** Returns the pool that serves the queue; it has the queue's name. */
    String pool() {
      return label;
    }

    int workers() {
      return workers;
    }

    private String longRunningQueue() {
      return label + "-serving";
    }

    /** Returns the routes of the queue and of its pool's long-running jobs. */
    List<Route> routes() {
      return List.of(new Route(label, pool(), 0), new Route(longRunningQueue(), pool(), 0));
    }

    /** Returns whether the long-running jobs need more workers than the pool has. */
    private boolean isWide() {
      return longRunningTasks > workers;
    }

    private static Queue servingQueue(String longRunningQueue) {
      return Arrays.stream(values())
          .filter(queue -> queue.longRunningQueue().equals(longRunningQueue))
          .findFirst()
          .orElseThrow();
    }

    private StepSpec longRunningStep() {
      return StepSpec.ofLongRunningTasks(longRunningTasks, LONG_RUNNING_NEED, "", 1, 1);
    }
  }

  private int longRunningRounds;

  LimitedJobs(Random random, SuspendAwareClock clock) {
    super(random, clock, SUBMIT_INTERVAL_MS);
  }

  @Override
  public List<JobSpec> next(long elapsedMs) {
    List<JobSpec> due = new ArrayList<>();
    Queue[] queues = Queue.values();
    Queue busy = busyQueue(queues, elapsedMs);
    for (Queue queue : queues) {
      double factor = queue == busy ? BUSY_FACTOR : IDLE_FACTOR;
      if (arrives(queue.jobsPerSecond * factor)) {
        due.add(job(queue.label, step()));
      }
    }
    if (elapsedMs >= LONG_RUNNING_FROM_MS + longRunningRounds * LONG_RUNNING_INTERVAL_MS) {
      longRunningRounds++;
      for (Queue queue : queues) {
        if (longRunningRounds <= queue.longRunningJobs) {
          due.add(job(queue.longRunningQueue(), queue.longRunningStep()));
        }
      }
    }
    return due;
  }

  private StepSpec step() {
    int tasks = MIN_TASKS + random.nextInt(MAX_TASKS - MIN_TASKS + 1);
    Resources need = new Resources(50 + random.nextInt(100), 100 + random.nextInt(200), 0);
    long runMs = 800L + random.nextInt(800);
    boolean isOversized = random.nextDouble() < OVERSIZED_FRACTION;
    StepSpec step = StepSpec.ofTasks(tasks, isOversized ? OVERSIZED : need, runMs, List.of());
    return random.nextDouble() < LIMITED_FRACTION
        ? step.withMaxPerWorker(1 + random.nextInt(MAX_TASKS_PER_WORKER))
        : step;
  }

  private JobSpec job(String queue, StepSpec step) {
    String id = nextId();
    String team = nextTeam();
    return job(id, queue, team, TaskProgram.USUAL.label(), List.of(step));
  }

  @Override
  public OptionalLong cancelDelayMs(JobSpec job) {
    if (job.isLongRunning()) {
      return Queue.servingQueue(job.queue()).isWide()
          ? OptionalLong.of(
              MIN_WIDE_CANCEL_MS + random.nextInt(MAX_WIDE_CANCEL_MS - MIN_WIDE_CANCEL_MS))
          : OptionalLong.empty();
    }
    if (job.steps().get(0).need().equals(OVERSIZED)) {
      return OptionalLong.of(OVERSIZED_CANCEL_MS);
    }
    return random.nextDouble() < CANCELLED_FRACTION
        ? OptionalLong.of(random.nextInt(MAX_CANCEL_MS))
        : OptionalLong.empty();
  }
}
