package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.OperatorConfig;
import org.laburnumarch.internal.platform.standin.PlatformLayout.Route;
import org.laburnumarch.internal.platform.standin.TaskProgram;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Submits jobs to queues whose demand peaks in turn, above what their pools can run, and a
 * long-running job to each pool. Some jobs are cancelled, fail often, fail always or crash workers.
 */
final class PeakJobs extends RandomJobs {

  private static final long SUBMIT_INTERVAL_MS = 20;

  private static final double PEAK_FACTOR = 5;
  private static final double IDLE_FACTOR = 0.05;
  private static final long LONG_RUNNING_FROM_MS = 4_000;
  private static final int LONG_RUNNING_TASKS = 5;
  private static final double CANCELLED_FRACTION = 0.08;
  private static final int MAX_CANCEL_MS = 6_000;
  private static final double REPEATED_FRACTION = 0.05;
  private static final int MAX_REPEAT_MS = 5_000;

  /** Fraction of the steps of quotes that limit their tasks on one worker. */
  private static final double LIMITED_FRACTION = 0.1;

  private static final int MAX_TASKS_PER_WORKER = 2;

  /** Jobs with each unusual program among this many. */
  private static final int ONE_FAILS_OFTEN_IN = 30;

  private static final int ONE_FAILS_IN = 60;
  private static final int ONE_CRASHES_IN = 150;

  /** A queue, its pool, and the size of its tasks. */
  enum Queue {
    QUOTES_NORTH("quotes-north", 6, 4.32, 1.6, 6, 2_100, 2_000, 800, 0, LIMITED_FRACTION),
    PAYOUTS_CENTRAL("payouts-central", 6, 0.64, 2, 8, 4_500, 4_500, 1_700, 1, 0),
    QUOTES_SOUTH("quotes-south", 8, 5.4, 1.6, 6, 2_100, 2_000, 800, 0, LIMITED_FRACTION),
    PAYOUTS_WEST("payouts-west", 9, 0.783, 2, 8, 4_500, 4_500, 1_700, 1, 0);

    private final String label;
    private final int workers;
    private final double jobsPerSecond;
    private final double meanSteps;
    private final int meanTasks;
    private final long meanCpuMillis;
    private final long meanMemoryMb;
    private final long meanRunMs;
    private final int priority;
    private final double limitedFraction;

    Queue(
        String label,
        int workers,
        double jobsPerSecond,
        double meanSteps,
        int meanTasks,
        long meanCpuMillis,
        long meanMemoryMb,
        long meanRunMs,
        int priority,
        double limitedFraction) {
      this.label = label;
      this.workers = workers;
      this.jobsPerSecond = jobsPerSecond;
      this.meanSteps = meanSteps;
      this.meanTasks = meanTasks;
      this.meanCpuMillis = meanCpuMillis;
      this.meanMemoryMb = meanMemoryMb;
      this.meanRunMs = meanRunMs;
      this.priority = priority;
      this.limitedFraction = limitedFraction;
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

    /** Returns the routes of the queue and of its pool's long-running job. */
    List<Route> routes() {
      return List.of(new Route(label, pool(), priority), new Route(longRunningQueue(), pool(), 0));
    }

    private JobSpec withLimits(JobSpec job) {
      // A source of its own, by the job, keeps later draws of a seed as they are without limits.
      Random limits = new Random(job.id().hashCode());
      return job.withSteps(
          job.steps().stream()
              .map(
                  step ->
                      limits.nextDouble() < limitedFraction
                          ? step.withMaxPerWorker(1 + limits.nextInt(MAX_TASKS_PER_WORKER))
                          : step)
              .toList());
    }

    private List<StepSpec> steps(Random random) {
      int count = 1;
      while (count < 4 && random.nextDouble() < 1 - 1 / meanSteps) {
        count++;
      }
      List<StepSpec> steps = new ArrayList<>();
      for (int number = 0; number < count; number++) {
        steps.add(
            StepSpec.ofTasks(
                1 + random.nextInt(2 * meanTasks - 1),
                new Resources(varied(meanCpuMillis, random), varied(meanMemoryMb, random), 0),
                varied(meanRunMs, random),
                number == 0 ? List.of() : List.of(number - 1)));
      }
      return steps;
    }

    /** Returns a value between half and one and a half times the mean. */
    private static long varied(long mean, Random random) {
      return mean / 2 + random.nextInt((int) mean);
    }
  }

  /** A team and its part of all jobs. */
  enum Team {
    HAKATA(40, 500_000),
    KOKURA(30, 300_000),
    KARATSU(12, 120_000),
    BEPPU(8, 90_000),
    AMAKUSA(6, 60_000),
    IBUSUKI(4, 40_000);

    private final int percent;
    private final long cpuMillis;

    Team(int percent, long cpuMillis) {
      this.percent = percent;
      this.cpuMillis = cpuMillis;
    }

    /** Returns the team's entry in the configuration; its weight is what it sends on average. */
    OperatorConfig.Team config() {
      return new OperatorConfig.Team(label(), JOBS_PER_SECOND * percent / 100, cpuMillis);
    }

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }

    static Team choose(Random random) {
      int point = random.nextInt(100);
      for (Team team : values()) {
        point -= team.percent;
        if (point < 0) {
          return team;
        }
      }
      return IBUSUKI;
    }
  }

  private static final double JOBS_PER_SECOND = 11;

  private boolean areLongRunningSubmitted;

  PeakJobs(Random random, SuspendAwareClock clock) {
    super(random, clock, SUBMIT_INTERVAL_MS);
  }

  @Override
  public List<JobSpec> next(long elapsedMs) {
    List<JobSpec> due = new ArrayList<>();
    Queue[] queues = Queue.values();
    Queue busy = busyQueue(queues, elapsedMs);
    for (Queue queue : queues) {
      double factor = queue == busy ? PEAK_FACTOR : IDLE_FACTOR;
      if (arrives(queue.jobsPerSecond * factor)) {
        due.add(queue.withLimits(job(queue.label, program(), queue.steps(random))));
      }
    }
    if (!areLongRunningSubmitted && elapsedMs >= LONG_RUNNING_FROM_MS) {
      areLongRunningSubmitted = true;
      for (Queue queue : queues) {
        StepSpec step =
            StepSpec.ofLongRunningTasks(
                LONG_RUNNING_TASKS, new Resources(2_700, 5_600, 0), "", 1, 1);
        due.add(job(queue.longRunningQueue(), TaskProgram.USUAL, List.of(step)));
      }
    }
    return due;
  }

  private TaskProgram program() {
    if (random.nextInt(ONE_CRASHES_IN) == 0) {
      return TaskProgram.CRASHES;
    }
    if (random.nextInt(ONE_FAILS_IN) == 0) {
      return TaskProgram.FAILS;
    }
    return random.nextInt(ONE_FAILS_OFTEN_IN) == 0 ? TaskProgram.FAILS_OFTEN : TaskProgram.USUAL;
  }

  private JobSpec job(String queue, TaskProgram program, List<StepSpec> steps) {
    String id = nextId();
    return job(id, queue, Team.choose(random).label(), program.label(), steps);
  }

  @Override
  public OptionalLong cancelDelayMs(JobSpec job) {
    return !job.isLongRunning() && random.nextDouble() < CANCELLED_FRACTION
        ? OptionalLong.of(random.nextInt(MAX_CANCEL_MS))
        : OptionalLong.empty();
  }

  @Override
  public OptionalLong repeatDelayMs(JobSpec job) {
    return random.nextDouble() < REPEATED_FRACTION
        ? OptionalLong.of(1L + random.nextInt(MAX_REPEAT_MS))
        : OptionalLong.empty();
  }
}
