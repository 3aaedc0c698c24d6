package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.CandidateRanking.Candidate;

/** Starts waiting tasks on the workers of one pool, in the order in which candidates are passed. */
final class StartRound {
  /**
   * Low-order bits of a run number that count runs within one term; the term is in the bits above,
   * so that a later owner's runs have higher numbers.
   */
  private static final int RUN_BITS_PER_TERM = 12;

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

  StartRound(Context context, Placement placement) {
    this.context = context;
    this.placement = placement;
    this.nowMs = context.nowMs();
  }

  void startCandidate(Candidate candidate, List<Worker> pool) {
    Step step = candidate.step();
    step.lastRefusal = WaitReason.NO_CAPACITY;
    if (!isWithinTeamLimit(step, step.spec.isGang() ? step.tasks.size() : 1)) {
      return;
    }
    boolean needsTicket = candidate.queue().advice().isPresent();
    Map<String, String> stepTickets = context.adviceTickets().usableFor(step, nowMs);
    if (needsTicket && stepTickets.isEmpty()) {
      step.lastRefusal = WaitReason.NO_TICKET;
      requestTickets(candidate, pool, false);
      return;
    }
    if (step.spec.isGang()) {
      startGang(step, stepTickets, needsTicket);
    } else {
      startTasks(candidate, stepTickets, needsTicket);
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

  private void startTasks(
      Candidate candidate, Map<String, String> stepTickets, boolean needsTicket) {
    Step step = candidate.step();
    boolean mayFindWorker = placement.hasRoomFor(step, stepTickets, needsTicket);
    boolean isPlaced = true;
    for (Task task : step.tasks) {
      if (!task.isStartable(nowMs) || (!isPlaced && !task.hasWaitedForSeparation(nowMs))) {
        continue;
      }
      if (!isWithinTeamLimit(step, 1)) {
        return;
      }
      Optional<Worker> worker =
          mayFindWorker || task.hasWaitedForSeparation(nowMs)
              ? placement.choose(task, stepTickets, needsTicket)
              : Optional.empty();
      if (worker.isEmpty()) {
        isPlaced &= onNoWorker(task, candidate.rank(), stepTickets, needsTicket);
        continue;
      }
      if (!context.budget().tryTake(1)) {
        step.lastRefusal = WaitReason.START_BUDGET;
        return;
      }
      start(task, worker.get(), nextRun(task), stepTickets);
    }
  }

  /**
   * Holds a worker back for a task that has found none, if that is due. Returns whether other tasks
   * of its step may find one all the same, because this one has to be kept apart.
   */
  private boolean onNoWorker(
      Task task, CandidateRanking.Rank rank, Map<String, String> stepTickets, boolean needsTicket) {
    if (task.needsIsolation(nowMs)) {
      task.limitIsolationWait(nowMs);
      if (placement.mayIsolateAnother()) {
        placement.holdWorkerForSuspect(task, stepTickets, needsTicket);
      }
      return true;
    }
    if (task.needsSeparation(nowMs)) {
      return true;
    }
    if (rank == CandidateRanking.Rank.LONG_RUNNING) {
      placement.holdWorkerFor(task, stepTickets, needsTicket);
    }
    return false;
  }

  private void startGang(Step step, Map<String, String> stepTickets, boolean needsTicket) {
    for (Task task : step.tasks) {
      if (!task.isStartable(nowMs)) {
        step.lastRefusal = WaitReason.GANG_INCOMPLETE;
        return;
      }
    }
    if (!isWithinTeamLimit(step, step.tasks.size())) {
      return;
    }
    Optional<Map<Task, Worker>> chosen =
        placement.chooseForGang(step.tasks, stepTickets, needsTicket);
    if (chosen.isEmpty()) {
      step.lastRefusal = WaitReason.GANG_DOES_NOT_FIT;
      return;
    }
    if (!context.budget().tryTake(step.tasks.size())) {
      step.lastRefusal = WaitReason.START_BUDGET;
      return;
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
