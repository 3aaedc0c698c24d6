package org.laburnumarch.internal.platform.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * A worker that obeys orders as the platform describes. All calls name the time, so that it runs in
 * virtual time as well as behind a socket. Not thread-safe.
 */
public final class SimulatedWorker {

  /** Room of every worker. */
  public static final Resources CAPACITY = new Resources(8_000, 32_000, 0);

  private static final long STOP_MS = 100;
  private static final long LONGEST_LEASE_MS = 6_000;

  /** Time after its start at which a task that lasts is at work. */
  private static final long STARTUP_MS = 300;

  /** What a started task does. */
  public record Behaviour(long endsAtMs, boolean isFailing, Resources need) {}

  /** Learns what happens on a worker. */
  public interface Observer {

    /** Ignores everything. */
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

    /** An end has been acknowledged while the lease lasted, and is not listed any more. */
    void onAcknowledged(SimulatedWorker worker, EndedTask end);

    /** A run is gone together with the worker's life. */
    void onLost(SimulatedWorker worker, String task, long run);
  }

  private static final class Run {
    private final String task;
    private final long run;
    private final long startedAtMs;
    private final Behaviour behaviour;
    private long stopsAtMs = Long.MAX_VALUE;

    Run(String task, long run, long startedAtMs, Behaviour behaviour) {
      this.task = task;
      this.run = run;
      this.startedAtMs = startedAtMs;
      this.behaviour = behaviour;
    }
  }

  private final String id;
  private final String service;
  private final String rack;
  private final double clockRate;
  private final Observer observer;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private final Map<String, Long> highestRuns = new LinkedHashMap<>();
  private long bornAtMs;
  private long highestToken;
  private long leaseEndMs = -1;
  private long nextEnd = 1;
  private long acknowledged;

  /** Last end that was listed when the lease lapsed; an acknowledgement of it comes too late. */
  private long lapsedEnd;

  /** Creates a worker with an exact clock that nobody observes. */
  public SimulatedWorker(String id, String service, String rack, long nowMs) {
    this(id, service, rack, nowMs, 1, Observer.NONE);
  }

  /**
   * Creates a worker.
   *
   * @param clockRate speed of its steady clock; the platform allows 0.98 to 1
   */
  public SimulatedWorker(
      String id, String service, String rack, long nowMs, double clockRate, Observer observer) {
    this.id = id;
    this.service = service;
    this.rack = rack;
    this.bornAtMs = nowMs;
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

  /** Returns the rack that the worker stands in. */
  public String rack() {
    return rack;
  }

  /** Returns the start of the present life. */
  public long bornAtMs() {
    return bornAtMs;
  }

  /** Returns the names of the tasks that run now. */
  public List<String> runningTasks() {
    return List.copyOf(running.keySet());
  }

  /** Returns whether it lists ends that have not been acknowledged. */
  public boolean hasEnds() {
    return !ended.isEmpty();
  }

  /** Returns what the registry lists of the worker. */
  public WorkerListing listing() {
    return new WorkerListing(
        id,
        service,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        "dc",
        CAPACITY,
        List.of("a", rack),
        false,
        0,
        bornAtMs);
  }

  /** Returns the worker's steady clock. */
  public long clockMs(long nowMs) {
    return (long) ((nowMs - bornAtMs) * clockRate);
  }

  /** Starts a new life that knows nothing of the one before. */
  public void crash(long nowMs) {
    running.values().forEach(run -> observer.onLost(this, run.task, run.run));
    running.clear();
    ended.clear();
    highestRuns.clear();
    highestToken = 0;
    leaseEndMs = -1;
    nextEnd = 1;
    acknowledged = 0;
    lapsedEnd = 0;
    bornAtMs = nowMs;
  }

  /** Ends what has run its time, was stopped or has lost its lease. */
  public void advance(long nowMs) {
    boolean isLapsed = clockMs(nowMs) > leaseEndMs;
    List<Run> over = new ArrayList<>();
    for (Run run : running.values()) {
      if (isLapsed) {
        end(run, EndKind.LAPSED, over);
      } else if (run.stopsAtMs <= nowMs) {
        end(run, EndKind.STOPPED, over);
      } else if (run.behaviour.endsAtMs() <= nowMs) {
        end(run, run.behaviour.isFailing() ? EndKind.FAILED : EndKind.DONE, over);
      }
    }
    if (isLapsed) {
      lapsedEnd = nextEnd - 1;
    }
    over.forEach(run -> running.remove(run.task));
  }

  private void end(Run run, EndKind how, List<Run> over) {
    over.add(run);
    EndedTask end = new EndedTask(nextEnd++, run.task, run.run, how, "");
    ended.add(end);
    observer.onEnd(this, end);
  }

  /** Obeys or refuses a start. */
  public OrderReply start(Order.Start order, long token, Behaviour behaviour, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return reply(Outcome.FENCED, nowMs);
    }
    highestToken = token;
    if (order.leaseEndClockMs() <= clockMs(nowMs)) {
      return reply(Outcome.LATE, nowMs);
    }
    extend(order.leaseEndClockMs(), nowMs);
    Run present = running.get(order.taskName());
    if (present != null && present.run == order.run()) {
      return reply(Outcome.OBEYED, nowMs);
    }
    if (order.run() <= highestRuns.getOrDefault(order.taskName(), 0L)) {
      return reply(Outcome.OUTDATED, nowMs);
    }
    if (!free().holds(behaviour.need())) {
      return reply(Outcome.NO_ROOM, nowMs);
    }
    highestRuns.put(order.taskName(), order.run());
    running.put(order.taskName(), new Run(order.taskName(), order.run(), nowMs, behaviour));
    observer.onStart(this, order.taskName(), order.run());
    return reply(Outcome.OBEYED, nowMs);
  }

  private Resources free() {
    Resources free = CAPACITY;
    for (Run run : running.values()) {
      free = free.minus(run.behaviour.need());
    }
    return free;
  }

  /** Stops a run, or keeps it from ever starting. */
  public OrderReply stop(Order.Stop order, long token, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return reply(Outcome.FENCED, nowMs);
    }
    highestToken = token;
    highestRuns.merge(order.taskName(), order.run(), Math::max);
    Run present = running.get(order.taskName());
    if (present != null && present.run == order.run()) {
      present.stopsAtMs = Math.min(present.stopsAtMs, nowMs + STOP_MS);
    }
    return reply(Outcome.OBEYED, nowMs);
  }

  /** Returns the report; null if a higher token has been seen. */
  public WorkerReport renew(Renewal renewal, long token, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return null;
    }
    highestToken = token;
    if (renewal.leaseEndClockMs() >= 0) {
      extend(renewal.leaseEndClockMs(), nowMs);
    }
    acknowledge(renewal.acknowledgedEnd());
    return report(nowMs);
  }

  private void acknowledge(long end) {
    acknowledged = Math.max(acknowledged, end);
    ended.removeIf(
        listed -> {
          boolean isOver = listed.number() <= acknowledged;
          if (isOver && listed.number() > lapsedEnd) {
            observer.onAcknowledged(this, listed);
          }
          return isOver;
        });
  }

  /** Returns what runs and what has ended. */
  public WorkerReport report(long nowMs) {
    List<RunningTask> list = new ArrayList<>();
    for (Run run : running.values()) {
      int percent = nowMs - run.startedAtMs >= STARTUP_MS ? 100 : 0;
      list.add(new RunningTask(run.task, run.run, "", percent, 0));
    }
    return new WorkerReport(clockMs(nowMs), bornAtMs, list, ended);
  }

  private void extend(long deadlineClockMs, long nowMs) {
    long bounded = Math.min(deadlineClockMs, clockMs(nowMs) + LONGEST_LEASE_MS);
    leaseEndMs = Math.max(leaseEndMs, bounded);
  }

  private OrderReply reply(Outcome outcome, long nowMs) {
    return new OrderReply(outcome, clockMs(nowMs));
  }
}
