package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;

/** Starts waiting tasks on the workers of one pool, in the order in which candidates are passed. */
final class StartRound {
  /**
   * Low-order bits of a run number that count runs within one term; the term is in the bits above,
   * so that a later owner's runs have higher numbers.
   */
  private static final int RUN_BITS_PER_TERM = 12;

  /**
   * Number of gangs, long-running steps and steps with limits for each worker that may find no
   * worker in one round; the others of these kinds are then left out of it.
   */
  private static final int MAX_MISSES = 24;

  /** What a step needs of a worker, if nothing but free capacity decides where it may run. */
  private record Shape(Resources reserved, Resources need, String requiredLabel) {

    static Optional<Shape> of(Candidate candidate) {
      StepSpec spec = candidate.step().spec;
      boolean isPlain =
          !spec.isGang()
              && !spec.isLongRunning()
              && spec.maxPerWorker() == 0
              && candidate.queue().advice().isEmpty();
      return isPlain
          ? Optional.of(new Shape(spec.reserved(), spec.need(), spec.requiredLabel()))
          : Optional.empty();
    }

    /** Returns whether every worker that could run this could also run the other. */
    boolean isAtLeast(Shape other) {
      return reserved.holds(other.reserved)
          && need.holds(other.need)
          && (other.requiredLabel.isEmpty() || other.requiredLabel.equals(requiredLabel));
    }
  }

  /**
   * State shared by all rounds of one decision.
   *
   * @param unreportedByTeam the most that each team may have running on workers that have not
   *     reported yet
   * @param orders receives the start orders
   * @param queries receives the requests to the advisory service
   * @param budget number of starts that may be ordered
   */
  record Context(
      FleetConfig config,
      SchedulerSettings settings,
      long term,
      RunTracker runTracker,
      TeamUsage teamUsage,
      Tickets adviceTickets,
      Map<String, Resources> unreportedByTeam,
      List<Order> orders,
      List<AdviceQuery> queries,
      StartBudget budget,
      long nowMs) {}

  private final Context context;
  private final Placement placement;
  private final long nowMs;

  /** The least needs of steps that found no worker; none of them is at least another. */
  private final List<Shape> missed = new ArrayList<>();

  private int misses;

  StartRound(Context context, Placement placement) {
    this.context = context;
    this.placement = placement;
    this.nowMs = context.nowMs();
  }

  void startCandidate(Candidate candidate, List<Worker> pool) {
    Step step = candidate.step();
    step.lastRefusal = WaitReason.NO_CAPACITY;
    Optional<Shape> shape = Shape.of(candidate);
    int together = step.spec.isGang() ? step.tasks.size() : 1;
    boolean isMissed =
        shape.map(own -> missed.stream().anyMatch(own::isAtLeast)).orElse(misses >= MAX_MISSES);
    if (isMissed && !mayEndIsolation(step)) {
      step.lastRefusal = shape.isPresent() ? WaitReason.NO_CAPACITY : WaitReason.POOL_FULL;
      step.tasks.forEach(task -> task.limitIsolationWait(nowMs));
      return;
    }
    if (!isWithinTeamLimit(step, together)) {
      return;
    }
    boolean needsTicket = candidate.queue().advice().isPresent();
    Map<String, String> stepTickets = context.adviceTickets().usableFor(step, nowMs);
    if (needsTicket && stepTickets.isEmpty()) {
      step.lastRefusal = WaitReason.NO_TICKET;
      requestTickets(candidate, pool, false);
      return;
    }
    boolean isPlaced =
        step.spec.isGang()
            ? startGang(step, stepTickets, needsTicket)
            : startTasks(candidate, stepTickets, needsTicket);
    if (!isPlaced) {
      shape.ifPresentOrElse(this::addMissed, () -> misses++);
    }
    if (needsTicket && lacksRoom(step)) {
      requestTickets(candidate, pool, true);
    }
  }

  private boolean lacksRoom(Step step) {
    return (step.lastRefusal == WaitReason.NO_CAPACITY
            || step.lastRefusal == WaitReason.GANG_DOES_NOT_FIT)
        && step.tasks.stream().anyMatch(task -> task.isStartable(nowMs));
  }

  private void addMissed(Shape shape) {
    missed.removeIf(other -> other.isAtLeast(shape));
    missed.add(shape);
  }

  private boolean mayEndIsolation(Step step) {
    return step.tasks.stream()
        .anyMatch(task -> task.isStartable(nowMs) && task.hasWaitedForSeparation(nowMs));
  }

  /**
   * Requests tickets for workers that a step has none for, first for those with room.
   *
   * @param needsRoom whether tickets for full workers are of no use
   */
  private void requestTickets(Candidate candidate, List<Worker> pool, boolean needsRoom) {
    Step step = candidate.step();
    if (!context.adviceTickets().isQueryDue(step, nowMs)) {
      return;
    }
    List<String> withRoom = new ArrayList<>();
    List<String> full = new ArrayList<>();
    for (Worker worker : pool) {
      if (placement.mayRun(worker, step)) {
        boolean hasRoom = worker.freeCapacity().holds(step.spec.reserved());
        (hasRoom ? withRoom : full).add(worker.id);
      }
    }
    if (!needsRoom) {
      withRoom.addAll(full);
    }
    context
        .adviceTickets()
        .query(step, candidate.queue().advice().orElseThrow(), withRoom, nowMs)
        .ifPresent(context.queries()::add);
  }

  /** Starts tasks of a step; returns false if one found no worker. */
  private boolean startTasks(
      Candidate candidate, Map<String, String> stepTickets, boolean needsTicket) {
    boolean isPlaced = true;
    for (Task task : candidate.step().tasks) {
      if (!task.isStartable(nowMs) || (!isPlaced && !task.hasWaitedForSeparation(nowMs))) {
        continue;
      }
      if (!isWithinTeamLimit(candidate.step(), 1)) {
        return isPlaced;
      }
      Optional<Worker> worker = placement.choose(task, stepTickets, needsTicket);
      if (worker.isEmpty() && task.needsIsolation(nowMs)) {
        task.limitIsolationWait(nowMs);
        if (placement.mayIsolateAnother()) {
          placement.holdWorkerForSuspect(task);
        }
        continue;
      }
      if (worker.isEmpty() && task.needsSeparation(nowMs)) {
        continue;
      }
      if (worker.isEmpty()) {
        if (candidate.rank() == CandidateRanking.Rank.LONG_RUNNING) {
          placement.holdWorkerFor(task);
        }
        isPlaced = false;
        continue;
      }
      if (!context.budget().tryTake(1)) {
        candidate.step().lastRefusal = WaitReason.START_BUDGET;
        return false;
      }
      start(task, worker.get(), nextRun(task), stepTickets);
    }
    return isPlaced;
  }

  private boolean startGang(Step step, Map<String, String> stepTickets, boolean needsTicket) {
    for (Task task : step.tasks) {
      if (!task.isStartable(nowMs)) {
        step.lastRefusal = WaitReason.GANG_INCOMPLETE;
        return false;
      }
    }
    if (!isWithinTeamLimit(step, step.tasks.size())) {
      return false;
    }
    Optional<Map<Task, Worker>> chosen =
        placement.chooseForGang(step.tasks, stepTickets, needsTicket);
    if (chosen.isEmpty()) {
      step.lastRefusal = WaitReason.GANG_DOES_NOT_FIT;
      return false;
    }
    if (!context.budget().tryTake(step.tasks.size())) {
      step.lastRefusal = WaitReason.START_BUDGET;
      return false;
    }
    long run = step.tasks.stream().mapToLong(this::nextRun).max().orElse(1);
    String checkpoint =
        step.tasks.stream()
            .map(task -> task.checkpoint)
            .filter(value -> !value.isEmpty())
            .findFirst()
            .orElse("");
    for (Task task : step.tasks) {
      task.checkpoint = checkpoint;
      start(task, chosen.get().get(task), run, stepTickets);
    }
    return true;
  }

  private boolean isWithinTeamLimit(Step step, int tasks) {
    Resources all = step.spec.need().times(tasks);
    String team = step.job.spec.team();
    boolean isAllowed =
        context
            .teamUsage()
            .allows(
                context.config(),
                team,
                all,
                context.unreportedByTeam().getOrDefault(team, Resources.NONE));
    if (!isAllowed) {
      step.lastRefusal = WaitReason.TEAM_LIMIT;
    }
    return isAllowed;
  }

  private long nextRun(Task task) {
    return Math.max(task.lastRun + 1, ((context.term() - 1) << RUN_BITS_PER_TERM) + 1);
  }

  private void start(Task task, Worker worker, long run, Map<String, String> stepTickets) {
    long leaseEndClockMs = worker.requestLease(context.settings().leaseMs(), nowMs);
    worker.ordersInFlight++;
    Attempt attempt = context.runTracker().registerStart(task, worker, run, nowMs, leaseEndClockMs);
    context
        .orders()
        .add(
            new Order.Start(
                worker.id,
                task.key.wireName(),
                run,
                task.step.job.spec.program(),
                leaseEndClockMs,
                attempt.checkpoint,
                stepTickets.getOrDefault(worker.id, "")));
  }
}
