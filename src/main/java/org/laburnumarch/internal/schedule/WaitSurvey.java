package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.TeamConfig;

/**
 * Determines why work stands, right after a round of decisions. Changes nothing. Load: it visits
 * all tasks of all unfinished jobs, so it is meant for once a second.
 */
final class WaitSurvey {

  /** Time for which work must have stood to be included. */
  static final long MIN_STANDING_MS = 1_000;

  private static final int MAX_NAMED_WORKERS = 3;

  /**
   * The scheduler's state.
   *
   * @param roundPlacements the choices of workers in the last round, by service
   * @param unreportedByTeam the most that each team may have running on workers that have not
   *     reported yet
   * @param ownedSinceMs local time of the takeover
   * @param provenAtMs latest local time at which this process is known to have been the owner
   */
  record State(
      Collection<Job> jobs,
      FleetConfig config,
      SchedulerSettings settings,
      WorkerTable workers,
      Map<String, Placement> roundPlacements,
      TakeoverGuard takeoverGuard,
      TeamUsage teamUsage,
      Map<String, Resources> unreportedByTeam,
      Set<String> outOfServiceDataCentres,
      long ownedSinceMs,
      long provenAtMs,
      long nowMs,
      long epochMs) {}

  private record Key(String service, WaitReason reason) {}

  /** A task that stands. It is null if its job has no tasks for lack of a configured queue. */
  private record Waiting(Job job, Task task, long sinceMs) {}

  private static final class Group {
    private Waiting oldest;
    private Job lastJob;
    private int jobs;
    private int tasks;

    private void add(Waiting waiting) {
      jobs += waiting.job() == lastJob ? 0 : 1;
      lastJob = waiting.job();
      tasks += waiting.task() == null ? 0 : 1;
      if (oldest == null || waiting.sinceMs() < oldest.sinceMs()) {
        oldest = waiting;
      }
    }
  }

  /** What decides which workers may run a step's tasks. */
  private record Requirement(
      String service, Resources need, Resources reserved, String label, Optional<Step> step) {

    static Requirement of(String service, Step step) {
      return new Requirement(
          service,
          step.spec.need(),
          step.spec.reserved(),
          step.spec.requiredLabel(),
          step.spec.maxPerWorker() == 0 ? Optional.empty() : Optional.of(step));
    }
  }

  /** The workers that accept a step's tasks. */
  private record Choice(
      List<Worker> eligible, List<Worker> fitting, boolean isAnyIsolated, boolean isAnyAtLimit) {}

  private final State state;
  private final long nowMs;
  private final Map<Key, Group> groups = new HashMap<>();
  private final Map<String, PoolState> pools = new HashMap<>();
  private final Map<String, Placement> placements = new HashMap<>();
  private final Map<Requirement, Choice> choices = new HashMap<>();
  private Step refinedStep;
  private WaitReason refinedReason;

  WaitSurvey(State state) {
    this.state = state;
    this.nowMs = state.nowMs();
  }

  WaitSummary take() {
    return new WaitSummary(standingWork(), unplacedSteps());
  }

  /** Returns the steps with tasks that may start and have not, by pool. */
  private List<UnplacedSteps> unplacedSteps() {
    Map<String, Map<WaitReason, Integer>> stepsByService = new TreeMap<>();
    for (Job job : state.jobs()) {
      Optional<QueueConfig> queue = state.config().queue(job.spec.queue());
      if (queue.isPresent() && !job.status.isFinal()) {
        Map<WaitReason, Integer> steps =
            stepsByService.computeIfAbsent(
                queue.get().service(), service -> new EnumMap<>(WaitReason.class));
        job.occurrences.values().stream()
            .flatMap(siblings -> siblings.stream().filter(it -> isDue(it, siblings)))
            .flatMap(step -> step.tasks.stream().filter(it -> it.isStartable(nowMs)).limit(1))
            .forEach(task -> steps.merge(reason(task, queue), 1, Integer::sum));
      }
    }
    List<UnplacedSteps> unplaced = new ArrayList<>();
    stepsByService.forEach(
        (service, steps) -> {
          if (!steps.isEmpty()) {
            Placement placement = state.roundPlacements().get(service);
            unplaced.add(
                new UnplacedSteps(
                    service,
                    steps,
                    placement == null
                        ? List.of()
                        : placement.heldWorkers().values().stream()
                            .map(tasks -> tasks.get(0).key.wireName())
                            .toList()));
          }
        });
    return unplaced;
  }

  private static boolean isDue(Step step, List<Step> siblings) {
    return !step.isDone() && Job.areDependenciesDone(step, siblings);
  }

  /** Returns the work that stands, by pool and reason. */
  private List<StandingWork> standingWork() {
    for (Job job : state.jobs()) {
      if (!job.status.isFinal()) {
        add(job);
      }
    }
    Map<String, StandingWork> sorted = new TreeMap<>();
    groups.forEach(
        (key, group) -> sorted.put(key.service() + ' ' + key.reason(), describe(key, group)));
    return List.copyOf(sorted.values());
  }

  private void add(Job job) {
    Optional<QueueConfig> queue = state.config().queue(job.spec.queue());
    long jobSinceMs = Math.max(beginMs(job, 0), job.lastSeenRunningAtMs);
    if (queue.isEmpty() && job.occurrences.isEmpty()) {
      boolean isDue =
          job.nextOccurrence < job.spec.occurrences()
              && (!job.spec.isTimed()
                  || job.spec.dueEpochMs(job.nextOccurrence) <= state.epochMs());
      if (isDue) {
        add("", WaitReason.QUEUE_NOT_CONFIGURED, new Waiting(job, null, jobSinceMs));
      }
      return;
    }
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        for (Task task : step.tasks) {
          jobSinceMs = Math.max(jobSinceMs, lastSeenRunningAtMs(task));
        }
      }
    }
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (isDue(step, steps)) {
          add(step, queue, Math.max(jobSinceMs, beginMs(job, step.occurrence)));
        }
      }
    }
  }

  /** Returns the local time from which this owner could have started an occurrence of a job. */
  private long beginMs(Job job, int occurrence) {
    long dueAtMs =
        job.spec.isTimed()
            ? nowMs - Math.max(0, state.epochMs() - job.spec.dueEpochMs(occurrence))
            : job.submittedAtMs;
    return Math.max(dueAtMs, state.ownedSinceMs());
  }

  private long lastSeenRunningAtMs(Task task) {
    if (task.attempt == null) {
      return task.lastSeenRunningAtMs;
    }
    return task.attempt.isKnownToRun()
        ? nowMs
        : Math.max(task.lastSeenRunningAtMs, task.attempt.lastSeenRunningAtMs());
  }

  private void add(Step step, Optional<QueueConfig> queue, long jobSinceMs) {
    for (Task task : step.tasks) {
      long sinceMs =
          step.spec.isLongRunning()
              ? Math.max(beginMs(step.job, step.occurrence), lastSeenRunningAtMs(task))
              : jobSinceMs;
      if (!task.isDone && nowMs - sinceMs >= MIN_STANDING_MS) {
        add(
            queue.map(QueueConfig::service).orElse(""),
            reason(task, queue),
            new Waiting(step.job, task, sinceMs));
      }
    }
  }

  private void add(String service, WaitReason reason, Waiting waiting) {
    groups.computeIfAbsent(new Key(service, reason), key -> new Group()).add(waiting);
  }

  private WaitReason reason(Task task, Optional<QueueConfig> queue) {
    if (queue.isEmpty()) {
      return WaitReason.QUEUE_NOT_CONFIGURED;
    } else if (task.attempt != null) {
      return task.attempt.phase == Attempt.Phase.RUNNING
          ? WaitReason.RUN_UNRESOLVED
          : WaitReason.START_UNANSWERED;
    } else if (task.isHeld) {
      return WaitReason.TAKEOVER;
    } else if (task.notBeforeMs > nowMs) {
      return WaitReason.REFUSAL_PAUSE;
    }
    return switch (task.step.lastRefusal) {
      case NO_CAPACITY, NO_TICKET, GANG_DOES_NOT_FIT -> refine(task, queue.get());
      default -> task.step.lastRefusal;
    };
  }

  /** Replaces the reason that a round has given by a more exact one. */
  private WaitReason refine(Task task, QueueConfig queue) {
    if (task.step != refinedStep) {
      refinedStep = task.step;
      refinedReason = refine(task.step, queue);
    }
    return refinedReason != WaitReason.NO_WORKER && task.needsSeparation(nowMs)
        ? WaitReason.ISOLATION
        : refinedReason;
  }

  private WaitReason refine(Step step, QueueConfig queue) {
    WaitReason refusal = step.lastRefusal;
    Choice choice = choice(step, queue.service());
    if (choice.eligible().isEmpty()) {
      if (choice.isAnyIsolated()) {
        return WaitReason.ISOLATION;
      }
      return choice.isAnyAtLimit() ? WaitReason.WORKER_LIMIT : WaitReason.NO_WORKER;
    } else if (refusal == WaitReason.NO_TICKET || refusal == WaitReason.GANG_DOES_NOT_FIT) {
      return refusal;
    } else if (choice.fitting().isEmpty()) {
      return WaitReason.NO_CAPACITY;
    } else if (choice.fitting().stream().allMatch(worker -> worker.health.isBlocked(nowMs))) {
      return WaitReason.WORKERS_BLOCKED;
    } else if (choice.fitting().stream().allMatch(WaitSurvey::hasMostStartsInFlight)) {
      return WaitReason.STARTS_IN_FLIGHT;
    } else if (isEachKept(choice.fitting(), queue.service())) {
      return WaitReason.WORKER_KEPT;
    } else {
      return queue.advice().isPresent() ? WaitReason.NO_TICKET : WaitReason.WORKER_KEPT;
    }
  }

  private boolean isEachKept(List<Worker> fitting, String service) {
    Placement placement = state.roundPlacements().get(service);
    return placement != null && placement.heldWorkers().keySet().containsAll(fitting);
  }

  private static boolean hasMostStartsInFlight(Worker worker) {
    return worker.ordersInFlight >= worker.maxOrdersInFlight;
  }

  private Choice choice(Step step, String service) {
    return choices.computeIfAbsent(
        Requirement.of(service, step),
        requirement -> {
          Placement placement =
              placements.computeIfAbsent(
                  service,
                  name ->
                      new Placement(
                          state.workers().pool(name),
                          state.outOfServiceDataCentres(),
                          state.settings().remoteSlowdownFactor(),
                          nowMs));
          List<Worker> eligible = new ArrayList<>();
          List<Worker> fitting = new ArrayList<>();
          boolean isAnyIsolated = false;
          boolean isAnyAtLimit = false;
          for (Worker worker : state.workers().pool(service)) {
            if (placement.mayRun(worker, step)) {
              eligible.add(worker);
              if (worker.freeCapacity().holds(step.spec.reserved())) {
                fitting.add(worker);
              }
            } else {
              isAnyIsolated |= worker.hasIsolatedRun() && placement.isEligible(worker, step);
              isAnyAtLimit |= placement.accepts(worker, step) && !placement.mayAdd(worker, step);
            }
          }
          return new Choice(eligible, fitting, isAnyIsolated, isAnyAtLimit);
        });
  }

  private StandingWork describe(Key key, Group group) {
    Job job = group.oldest.job();
    Task task = group.oldest.task();
    Choice choice =
        task == null || key.service().isEmpty()
            ? new Choice(List.of(), List.of(), false, false)
            : choice(task.step, key.service());
    return new StandingWork(
        key.service(),
        key.reason(),
        group.jobs,
        group.tasks,
        job.spec.id(),
        task == null ? "" : task.key.wireName(),
        job.spec.queue(),
        job.spec.team(),
        nowMs - group.oldest.sinceMs(),
        nowMs - job.submittedAtMs,
        pools.computeIfAbsent(key.service(), this::poolState),
        choice.eligible().size(),
        choice.fitting().size(),
        awaitedWorkers(key, task, choice)
            .map(worker -> worker.id)
            .distinct()
            .limit(MAX_NAMED_WORKERS)
            .toList(),
        details(key.reason(), job, task, choice));
  }

  private PoolState poolState(String service) {
    return PoolState.of(state.workers().pool(service), state.outOfServiceDataCentres(), nowMs);
  }

  private Stream<Worker> awaitedWorkers(Key key, Task task, Choice choice) {
    List<Worker> pool = state.workers().pool(key.service());
    return switch (key.reason()) {
      case START_UNANSWERED, RUN_UNRESOLVED -> Stream.of(task.attempt.worker);
      case TAKEOVER ->
          (task.step.spec.isGang() ? task.step.tasks.stream() : Stream.of(task))
              .flatMap(
                  held ->
                      state
                          .takeoverGuard()
                          .unresolvedWorkers(held, state.workers(), state.provenAtMs()));
      case NO_WORKER, WORKER_LIMIT -> pool.stream().filter(worker -> !isAvailable(worker));
      case NO_CAPACITY, GANG_DOES_NOT_FIT ->
          pool.stream()
              .filter(worker -> worker.attempts.values().stream().anyMatch(Attempt::isDoubtful));
      case ISOLATION -> pool.stream().filter(Worker::hasIsolatedRun);
      case STARTS_IN_FLIGHT, WORKERS_BLOCKED, WORKER_KEPT -> choice.fitting().stream();
      case QUEUE_NOT_CONFIGURED,
          REFUSAL_PAUSE,
          TEAM_LIMIT,
          NO_TICKET,
          START_BUDGET,
          GANG_INCOMPLETE,
          NOT_CONSIDERED ->
          Stream.empty();
    };
  }

  private boolean isAvailable(Worker worker) {
    return PoolState.causeOfUnavailability(worker, state.outOfServiceDataCentres(), nowMs)
        .isEmpty();
  }

  private String details(WaitReason reason, Job job, Task task, Choice choice) {
    String team = job.spec.team();
    return switch (reason) {
      case TEAM_LIMIT ->
          "used="
              + PoolState.text(state.teamUsage().of(team))
              + " unreported="
              + PoolState.text(state.unreportedByTeam().getOrDefault(team, Resources.NONE))
              + " limit="
              + PoolState.text(
                  state.config().team(team).map(TeamConfig::limit).orElse(Resources.NONE))
              + " need="
              + PoolState.text(task.step.spec.need());
      case REFUSAL_PAUSE -> "pause_left_ms=" + (task.notBeforeMs - nowMs);
      case TAKEOVER -> "remaining_ms=" + Math.max(0, state.takeoverGuard().overAtMs() - nowMs);
      case STARTS_IN_FLIGHT ->
          "starts_allowed="
              + choice.fitting().stream().mapToInt(worker -> worker.maxOrdersInFlight).sum();
      case WORKER_LIMIT -> "max_per_worker=" + task.step.spec.maxPerWorker();
      case NO_CAPACITY, NO_WORKER, WORKERS_BLOCKED, WORKER_KEPT, GANG_DOES_NOT_FIT ->
          "reserved=" + PoolState.text(task.step.spec.reserved());
      case QUEUE_NOT_CONFIGURED,
          START_UNANSWERED,
          RUN_UNRESOLVED,
          ISOLATION,
          NO_TICKET,
          START_BUDGET,
          GANG_INCOMPLETE,
          NOT_CONSIDERED ->
          "";
    };
  }
}
