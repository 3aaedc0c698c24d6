package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.platform.standin.PlatformLayout.Route;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Submits jobs of dependent steps to several queues, which are busy in turn, and a long-running job
 * to each pool. Some jobs are cancelled, and some are submitted again after their acceptance.
 */
final class WaveJobs extends RandomJobs {

  private static final long SUBMIT_INTERVAL_MS = 20;

  private static final double BUSY_FACTOR = 4;
  private static final double IDLE_FACTOR = 0.05;

  /** The callers wait with the long-running jobs until the daemons have started. */
  private static final long LONG_RUNNING_FROM_MS = 4_000;

  private static final int LONG_RUNNING_TASKS = 5;

  private static final double CANCELLED_FRACTION = 0.05;
  private static final int MAX_PROMPT_CANCEL_MS = 25;
  private static final int MAX_CANCEL_MS = 4_000;

  private static final double REPEATED_FRACTION = 0.1;
  private static final int MIN_REPEAT_MS = 1_000;
  private static final int MAX_REPEAT_MS = 5_000;

  /** Fraction of the steps after the first that follow an earlier step than the previous one. */
  private static final double BRANCH_FRACTION = 0.2;

  /** A queue with tasks of about the same size, and the queue of its pool's long-running job. */
  enum Queue {
    QUOTES_EAST("quotes-east", 2.06, TaskKind.SHORT),
    PAYOUTS_EAST("payouts-east", 0.304, TaskKind.LONG),
    QUOTES_WEST("quotes-west", 2.56, TaskKind.SHORT),
    PAYOUTS_WEST("payouts-west", 0.369, TaskKind.LONG);

    private final String label;
    private final double jobsPerSecond;
    private final TaskKind kind;

    Queue(String label, double jobsPerSecond, TaskKind kind) {
      this.label = label;
      this.jobsPerSecond = jobsPerSecond;
      this.kind = kind;
    }

    /** Returns the pool that serves the queue; it has the queue's name. */
    String pool() {
      return label;
    }

    String longRunningQueue() {
      return label + "-serving";
    }

    /** Returns the routes of the queue and of its pool's long-running job. */
    List<Route> routes() {
      return List.of(
          new Route(label, pool(), kind == TaskKind.SHORT ? 0 : 1),
          new Route(longRunningQueue(), pool(), 0));
    }
  }

  /** The steps of a queue's jobs. */
  private enum TaskKind {
    SHORT {
      @Override
      StepSpec step(Random random, List<Integer> after) {
        int count = random.nextInt(10) == 0 ? 10 + random.nextInt(15) : 1 + random.nextInt(9);
        long runMs = 400L + random.nextInt(random.nextInt(10) == 0 ? 1_000 : 800);
        return TaskKind.step(
            count,
            new Resources(1_200 + random.nextInt(1_800), 800 + random.nextInt(2_600), 0),
            runMs,
            after,
            false,
            random.nextDouble() < SPECULATIVE_FRACTION);
      }

      @Override
      int steps(Random random) {
        return 1 + Math.min(random.nextInt(4), random.nextInt(3));
      }
    },
    LONG {
      @Override
      StepSpec step(Random random, List<Integer> after) {
        int count = random.nextInt(7) == 0 ? 12 + random.nextInt(21) : 1 + random.nextInt(12);
        long runMs =
            random.nextInt(5) == 0 ? 2_500L + random.nextInt(4_000) : 850L + random.nextInt(1_700);
        return TaskKind.step(
            count,
            new Resources(2_500 + random.nextInt(4_000), 2_000 + random.nextInt(5_200), 0),
            runMs,
            after,
            random.nextDouble() < CHECKPOINTING_FRACTION,
            false);
      }

      @Override
      int steps(Random random) {
        return 1 + Math.min(random.nextInt(5), random.nextInt(4));
      }
    };

    private static final double SPECULATIVE_FRACTION = 0.3;
    private static final double CHECKPOINTING_FRACTION = 0.8;

    abstract StepSpec step(Random random, List<Integer> after);

    abstract int steps(Random random);

    private static StepSpec step(
        int count,
        Resources need,
        long runMs,
        List<Integer> after,
        boolean isCheckpointing,
        boolean isSpeculative) {
      return new StepSpec(
          count,
          need,
          runMs,
          after,
          isCheckpointing,
          false,
          false,
          "",
          "",
          0,
          isSpeculative,
          false,
          "",
          0,
          false,
          0);
    }
  }

  private boolean areLongRunningSubmitted;

  WaveJobs(Random random, SuspendAwareClock clock) {
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
        due.add(job(queue.label, steps(queue.kind)));
      }
    }
    if (!areLongRunningSubmitted && elapsedMs >= LONG_RUNNING_FROM_MS) {
      areLongRunningSubmitted = true;
      for (Queue queue : queues) {
        Resources need = new Resources(2_700, 5_600, 0);
        due.add(
            job(
                queue.longRunningQueue(),
                List.of(StepSpec.ofLongRunningTasks(LONG_RUNNING_TASKS, need, "", 0, 1))));
      }
    }
    return due;
  }

  private List<StepSpec> steps(TaskKind kind) {
    List<StepSpec> steps = new ArrayList<>();
    int count = kind.steps(random);
    for (int number = 0; number < count; number++) {
      int earlier = random.nextDouble() < BRANCH_FRACTION ? random.nextInt(number + 1) : number;
      steps.add(kind.step(random, number == 0 ? List.of() : List.of(Math.max(0, earlier - 1))));
    }
    return steps;
  }

  private JobSpec job(String queue, List<StepSpec> steps) {
    String id = nextId();
    String team = nextTeam();
    return job(id, queue, team, "soak", steps);
  }

  @Override
  public OptionalLong cancelDelayMs(JobSpec job) {
    if (job.isLongRunning() || random.nextDouble() >= CANCELLED_FRACTION) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        random.nextInt(random.nextBoolean() ? MAX_PROMPT_CANCEL_MS : MAX_CANCEL_MS));
  }

  @Override
  public OptionalLong repeatDelayMs(JobSpec job) {
    return random.nextDouble() < REPEATED_FRACTION
        ? OptionalLong.of(MIN_REPEAT_MS + random.nextInt(MAX_REPEAT_MS - MIN_REPEAT_MS))
        : OptionalLong.empty();
  }
}
