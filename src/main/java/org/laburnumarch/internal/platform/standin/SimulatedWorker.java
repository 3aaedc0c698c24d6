package org.laburnumarch.internal.platform.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.Renewal;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.laburnumarch.internal.schedule.WorkerReport;

/**
 * Simulates a worker that follows the platform's worker protocol. Callers pass the current time, so
 * that it runs in virtual time as well as behind a socket. Thread-safe.
 */
public final class SimulatedWorker {

  /** Capacity of a worker without a profile. */
  public static final Resources CAPACITY = new Resources(8_000, 32_000, 0);

  static final long STOP_DURATION_MS = 100;
  private static final long MAX_LEASE_MS = 6_000;

  /** Time from a run's start until the worker reports 100 percent for it. */
  private static final long STARTUP_MS = 300;

  /** Maximum number of ends in one report. */
  private static final int MAX_LISTED_ENDS = 500;

  /** Work between two checkpoints. */
  private static final long CHECKPOINT_INTERVAL_MS = 1_000;

  /** Time that it takes to resume from a checkpoint. */
  private static final long RESTORE_MS = 600;

  /** Number of hexadecimal digits of a checkpoint that state the saved work. */
  private static final int SAVED_WORK_DIGITS = 8;

  private static final int HEXADECIMAL = 16;

  /**
   * When and how a started task ends if it resumes from no checkpoint, the resources that it needs,
   * and whether it saves checkpoints.
   */
  public record Behaviour(
      long endsAtMs, boolean isFailing, Resources need, boolean isCheckpointing) {

    /** Creates a behaviour without checkpoints. */
    public Behaviour(long endsAtMs, boolean isFailing, Resources need) {
      this(endsAtMs, isFailing, need, false);
    }
  }

  /** Is notified of what happens on a worker. */
  public interface Observer {

    /** Ignores all notifications. */
    Observer NONE =
        new Observer() {
          @Override
          public void onStart(SimulatedWorker worker, String task, long run) {}

          @Override
          public void onEnd(SimulatedWorker worker, EndedTask end) {}

          @Override
          public void onAcknowledged(SimulatedWorker worker, EndedTask end) {}

          @Override
          public void onLost(SimulatedWorker worker, String task, long run) {}
        };

    /** A run has begun. */
    void onStart(SimulatedWorker worker, String task, long run);

    /** A run has ended, and the worker lists its end from now on. */
    void onEnd(SimulatedWorker worker, EndedTask end);

    /** An end that was listed under a valid lease has been acknowledged and is no longer listed. */
    void onAcknowledged(SimulatedWorker worker, EndedTask end);

    /**
     * Ends were acknowledged that this incarnation has not listed, so the acknowledgement was meant
     * for an earlier one. The worker forgets these ends without listing them.
     */
    default void onAcknowledgedAhead(
        SimulatedWorker worker, long acknowledgedEnd, long listedEnd, long fencingToken) {}

    /** A run was lost because the worker's process ended. */
    void onLost(SimulatedWorker worker, String task, long run);
  }

  private record RunKey(String task, long run) {}

  private static final class Run {
    private final String task;
    private final long run;
    private final long runStartMs;
    private final Behaviour behaviour;

    /** Work that the run's checkpoint had saved, and the time that it took to restore it. */
    private final long resumedWorkMs;

    private final long restoreMs;
    private long stopsAtMs = Long.MAX_VALUE;

    Run(Order.Start order, long runStartMs, Behaviour behaviour) {
      this.task = order.taskName();
      this.run = order.run();
      this.runStartMs = runStartMs;
      this.behaviour = behaviour;
      boolean isResumed = behaviour.isCheckpointing() && !order.checkpoint().isEmpty();
      this.resumedWorkMs =
          isResumed
              ? Long.parseLong(order.checkpoint().substring(0, SAVED_WORK_DIGITS), HEXADECIMAL)
              : 0;
      this.restoreMs = isResumed ? RESTORE_MS : 0;
    }

    long endsAtMs() {
      return behaviour.endsAtMs() - resumedWorkMs + restoreMs;
    }

    /** Returns the newest checkpoint; stopping a run saves all of its work. */
    String checkpoint(long nowMs, boolean isStopped) {
      if (!behaviour.isCheckpointing()) {
        return "";
      }
      long workMs = Math.max(0, nowMs - runStartMs - restoreMs);
      long savedMs = resumedWorkMs + workMs - (isStopped ? 0 : workMs % CHECKPOINT_INTERVAL_MS);
      return savedMs == 0 ? "" : String.format(Locale.ROOT, "%08x%08x", savedMs, task.hashCode());
    }
  }

  private final String id;
  private final String service;
  private final WorkerProfile profile;
  private final double clockRate;
  private final Observer observer;
  private final Map<RunKey, Run> running = new LinkedHashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private final Map<String, Long> highestRunByTask = new LinkedHashMap<>();
  private volatile long startedAtMs;
  private long highestToken;
  private long leaseEndMs = -1;
  private long nextEndNumber = 1;
  private long highestAcknowledgedEnd;
  private long highestListedEnd;

  /**
   * Number of the newest end at the time when the lease last expired. Acknowledgements up to it
   * come too late and are not reported to the observer.
   */
  private long lastEndBeforeLapse;

  /** Earliest time at which the worker leaves; empty before it has announced that. */
  private volatile OptionalLong leavesFromMs = OptionalLong.empty();

  /** Creates a worker with an exact clock and without an observer. */
  public SimulatedWorker(String id, String service, String rack, long nowMs) {
    this(id, service, rack, nowMs, 1, Observer.NONE);
  }

  /**
   * Creates a worker.
   *
   * @param clockRate rate of its monotonic clock; the platform allows 0.98 to 1
   */
  public SimulatedWorker(
      String id, String service, String rack, long nowMs, double clockRate, Observer observer) {
    this(
        id,
        service,
        new WorkerProfile(rack, "dc", CAPACITY, STOP_DURATION_MS, STOP_DURATION_MS),
        nowMs,
        clockRate,
        observer);
  }

  SimulatedWorker(
      String id,
      String service,
      WorkerProfile profile,
      long nowMs,
      double clockRate,
      Observer observer) {
    this.id = id;
    this.service = service;
    this.profile = profile;
    this.startedAtMs = nowMs;
    this.clockRate = clockRate;
    this.observer = observer;
  }

  /** Returns the id under which the registry lists the worker. */
  public String id() {
    return id;
  }

  /** Returns the service whose pool the worker is in. */
  public String service() {
    return service;
  }

  /** Returns the rack of the worker. */
  public String rack() {
    return profile.rack();
  }

  /** Returns the data centre of the worker. */
  String dataCentre() {
    return profile.dataCentre();
  }

  Resources capacity() {
    return profile.capacity();
  }

  /** Announces that the worker leaves, but not before {@code earliestMs}. */
  void announceLeave(long earliestMs) {
    leavesFromMs = OptionalLong.of(earliestMs);
  }

  /** Returns whether the worker has announced that it leaves; it should get no new tasks. */
  boolean isLeaving() {
    return leavesFromMs.isPresent();
  }

  /** Returns the minimum time until the worker leaves; 0 if it has not announced that. */
  long remainingMs(long nowMs) {
    return Math.max(0, leavesFromMs.orElse(nowMs) - nowMs);
  }

  /** Returns when the current incarnation started. */
  public long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the names of the running tasks. */
  public synchronized List<String> runningTasks() {
    return running.keySet().stream().map(RunKey::task).toList();
  }

  /** Returns whether ends are listed that have not been acknowledged. */
  public synchronized boolean hasUnacknowledgedEnds() {
    return !ended.isEmpty();
  }

  /** Returns the worker's entry in the registry. */
  public synchronized WorkerListing listing() {
    return new WorkerListing(
        id,
        service,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        profile.dataCentre(),
        profile.capacity(),
        List.of("a", profile.rack()),
        false,
        0,
        startedAtMs);
  }

  /** Returns the reading of the worker's monotonic clock. */
  public synchronized long clockMs(long nowMs) {
    return (long) ((nowMs - startedAtMs) * clockRate);
  }

  /** Starts a new incarnation without any state of the previous one. */
  public synchronized void crash(long nowMs) {
    running.values().forEach(run -> observer.onLost(this, run.task, run.run));
    running.clear();
    ended.clear();
    highestRunByTask.clear();
    highestToken = 0;
    leaseEndMs = -1;
    nextEndNumber = 1;
    highestAcknowledgedEnd = 0;
    highestListedEnd = 0;
    lastEndBeforeLapse = 0;
    startedAtMs = nowMs;
  }

  /** Ends the runs that are complete, were stopped or have lost their lease. */
  public synchronized void advance(long nowMs) {
    boolean isLapsed = clockMs(nowMs) > leaseEndMs;
    List<Run> finished = new ArrayList<>();
    for (Run run : running.values()) {
      if (isLapsed) {
        end(run, EndKind.LAPSED, nowMs, finished);
      } else if (run.stopsAtMs <= nowMs) {
        end(run, EndKind.STOPPED, nowMs, finished);
      } else if (run.endsAtMs() <= nowMs) {
        end(run, run.behaviour.isFailing() ? EndKind.FAILED : EndKind.DONE, nowMs, finished);
      }
    }
    if (isLapsed) {
      lastEndBeforeLapse = nextEndNumber - 1;
    }
    finished.forEach(run -> running.remove(new RunKey(run.task, run.run)));
  }

  private void end(Run run, EndKind how, long nowMs, List<Run> finished) {
    finished.add(run);
    String checkpoint = how == EndKind.DONE ? "" : run.checkpoint(nowMs, how == EndKind.STOPPED);
    EndedTask end = new EndedTask(nextEndNumber++, run.task, run.run, how, checkpoint);
    ended.add(end);
    observer.onEnd(this, end);
  }

  /** Executes or refuses a start order. */
  public synchronized OrderReply start(
      Order.Start order, long token, Behaviour behaviour, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return reply(Outcome.FENCED, nowMs);
    }
    highestToken = token;
    if (order.leaseEndClockMs() <= clockMs(nowMs)) {
      return reply(Outcome.LATE, nowMs);
    }
    extendLease(order.leaseEndClockMs(), nowMs);
    RunKey key = new RunKey(order.taskName(), order.run());
    if (running.containsKey(key)) {
      return reply(Outcome.OBEYED, nowMs);
    }
    if (order.run() <= highestRunByTask.getOrDefault(order.taskName(), 0L)) {
      return reply(Outcome.OUTDATED, nowMs);
    }
    if (!freeCapacity().holds(behaviour.need())) {
      return reply(Outcome.NO_ROOM, nowMs);
    }
    highestRunByTask.put(order.taskName(), order.run());
    running.put(key, new Run(order, nowMs, behaviour));
    observer.onStart(this, order.taskName(), order.run());
    return reply(Outcome.OBEYED, nowMs);
  }

  /** Returns the capacity that no running task has reserved. */
  synchronized Resources freeCapacity() {
    Resources freeCapacity = profile.capacity();
    for (Run run : running.values()) {
      freeCapacity = freeCapacity.minus(run.behaviour.need());
    }
    return freeCapacity;
  }

  /** Returns the number of running tasks whose names begin with a prefix. */
  synchronized long countRuns(String prefix) {
    return running.keySet().stream().filter(run -> run.task().startsWith(prefix)).count();
  }

  /** Stops a run, or prevents it from starting later. */
  public synchronized OrderReply stop(Order.Stop order, long token, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return reply(Outcome.FENCED, nowMs);
    }
    highestToken = token;
    highestRunByTask.merge(order.taskName(), order.run(), Math::max);
    Run current = running.get(new RunKey(order.taskName(), order.run()));
    if (current != null) {
      current.stopsAtMs =
          Math.min(current.stopsAtMs, nowMs + profile.stopMs(current.task, current.run));
    }
    return reply(Outcome.OBEYED, nowMs);
  }

  /**
   * Extends the lease, acknowledges ends and returns the report; null if a higher token has been
   * seen.
   */
  public synchronized WorkerReport renew(Renewal renewal, long token, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return null;
    }
    highestToken = token;
    if (renewal.leaseEndClockMs() >= 0) {
      extendLease(renewal.leaseEndClockMs(), nowMs);
    }
    if (renewal.acknowledgedEnd() > highestListedEnd) {
      observer.onAcknowledgedAhead(this, renewal.acknowledgedEnd(), highestListedEnd, token);
    }
    acknowledge(renewal.acknowledgedEnd());
    return report(nowMs);
  }

  private void acknowledge(long end) {
    highestAcknowledgedEnd = Math.max(highestAcknowledgedEnd, end);
    ended.removeIf(
        listed -> {
          boolean isAcknowledged = listed.number() <= highestAcknowledgedEnd;
          if (isAcknowledged && listed.number() > lastEndBeforeLapse) {
            observer.onAcknowledged(this, listed);
          }
          return isAcknowledged;
        });
  }

  /** Returns the running tasks and the earliest ends that are not acknowledged. */
  public synchronized WorkerReport report(long nowMs) {
    List<RunningTask> list = new ArrayList<>();
    for (Run run : running.values()) {
      int percent = nowMs - run.runStartMs >= STARTUP_MS ? 100 : 0;
      list.add(new RunningTask(run.task, run.run, run.checkpoint(nowMs, false), percent, 0));
    }
    List<EndedTask> listedEnds = ended.subList(0, Math.min(ended.size(), MAX_LISTED_ENDS));
    if (!listedEnds.isEmpty()) {
      highestListedEnd = Math.max(highestListedEnd, listedEnds.get(listedEnds.size() - 1).number());
    }
    return new WorkerReport(
        clockMs(nowMs), startedAtMs, list, listedEnds, listedEnds.size() < MAX_LISTED_ENDS);
  }

  private void extendLease(long deadlineClockMs, long nowMs) {
    long limitedDeadlineMs = Math.min(deadlineClockMs, clockMs(nowMs) + MAX_LEASE_MS);
    leaseEndMs = Math.max(leaseEndMs, limitedDeadlineMs);
  }

  private OrderReply reply(Outcome outcome, long nowMs) {
    return new OrderReply(outcome, clockMs(nowMs));
  }
}
