package org.laburnumarch.internal.schedule;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.JobOrder.Candidate;

/** One round of starts in one pool. */
final class StartRound {
  /** Bits of a run number that count runs within one term. */
  private static final int RUN_BITS = 12;

  /** Steps in one round that found no worker, after which the pool counts as full. */
  private static final int MAX_MISSES = 24;

  /**
   * What all rounds of one decision share.
   *
   * @param unseenByTeam what teams may have running on workers that have not reported yet
   * @param orders takes the starts
   * @param queries takes the questions to the advisory service
   */
  record Context(
      FleetConfig config,
      SchedulerSettings settings,
      long term,
      RunBook runs,
      TeamUse teamUse,
      Tickets tickets,
      Map<String, Resources> unseenByTeam,
      List<Order> orders,
      List<AdviceQuery> queries,
      long nowMs) {}

  private final Context context;
  private final Placement placement;
  private final long nowMs;

  StartRound(Context context, Placement placement) {
    this.context = context;
    this.placement = placement;
    this.nowMs = context.nowMs();
  }

  void run(List<Candidate> candidates, List<Worker> pool) {
    int misses = 0;
    for (Candidate candidate : candidates) {
      if (misses >= MAX_MISSES) {
        return;
      }
      Step step = candidate.step();
      boolean needsTicket = candidate.queue().advice().isPresent();
      Map<String, String> stepTickets = context.tickets().of(step, nowMs);
      if (needsTicket && stepTickets.isEmpty()) {
        ask(candidate, pool);
        continue;
      }
      boolean isPlaced =
          step.spec.isGang()
              ? startGang(step, stepTickets, needsTicket)
              : startTasks(candidate, stepTickets, needsTicket);
      misses += isPlaced ? 0 : 1;
    }
  }

  private void ask(Candidate candidate, List<Worker> pool) {
    List<String> ids =
        pool.stream()
            .filter(worker -> placement.mayRun(worker, candidate.step()))
            .map(worker -> worker.id)
            .toList();
    context
        .tickets()
        .ask(candidate.step(), candidate.queue().advice().orElseThrow(), ids, nowMs)
        .ifPresent(context.queries()::add);
  }

  private boolean startTasks(
      Candidate candidate, Map<String, String> stepTickets, boolean needsTicket) {
    for (Task task : candidate.step().tasks) {
      if (!task.isStartable(nowMs)) {
        continue;
      }
      if (!teamAllows(candidate.step(), 1)) {
        return false;
      }
      Optional<Worker> worker = placement.choose(task, stepTickets, needsTicket);
      if (worker.isEmpty()) {
        if (candidate.rank() == JobOrder.Rank.LASTING) {
          placement.keepFreeFor(task);
        }
        return false;
      }
      start(task, worker.get(), nextRun(task), stepTickets);
    }
    return true;
  }

  private boolean startGang(Step step, Map<String, String> stepTickets, boolean needsTicket) {
    for (Task task : step.tasks) {
      if (!task.isStartable(nowMs)) {
        return false;
      }
    }
    if (!teamAllows(step, step.tasks.size())) {
      return false;
    }
    Optional<Map<Task, Worker>> chosen = placement.chooseAll(step.tasks, stepTickets, needsTicket);
    if (chosen.isEmpty()) {
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

  private boolean teamAllows(Step step, int tasks) {
    Resources need = step.spec.need();
    Resources all =
        new Resources(need.cpuMillis() * tasks, need.memoryMb() * tasks, need.gpus() * tasks);
    String team = step.job.spec.team();
    return context
        .teamUse()
        .allows(
            context.config(), team, all, context.unseenByTeam().getOrDefault(team, Resources.NONE));
  }

  private long nextRun(Task task) {
    return Math.max(task.lastRun + 1, ((context.term() - 1) << RUN_BITS) + 1);
  }

  private void start(Task task, Worker worker, long run, Map<String, String> stepTickets) {
    long leaseEndClockMs = worker.clockMs(nowMs) + context.settings().leaseMs();
    worker.leaseEndClockMs = Math.max(worker.leaseEndClockMs, leaseEndClockMs);
    worker.ordersInFlight++;
    Attempt attempt = context.runs().open(task, worker, run, nowMs, leaseEndClockMs);
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
