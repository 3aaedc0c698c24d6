package org.laburnumarch.internal.schedule;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** A worker in virtual time that obeys orders as the platform describes. */
final class SimulatedWorker {

  static final Resources CAPACITY = new Resources(8_000, 32_000, 0);

  /** A run with the virtual time at which it ends by itself. */
  static final class Run {
    final String task;
    final long run;
    final long endsAtMs;
    final boolean isFailing;
    long stopsAtMs = Long.MAX_VALUE;

    Run(String task, long run, long endsAtMs, boolean isFailing) {
      this.task = task;
      this.run = run;
      this.endsAtMs = endsAtMs;
      this.isFailing = isFailing;
    }
  }

  private static final long STOP_MS = 100;
  private static final long LONGEST_LEASE_MS = 6_000;

  final String id;
  final String service;
  final String rack;
  final Map<String, Run> running = new LinkedHashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private final Map<String, Long> highestRuns = new LinkedHashMap<>();
  long bornAtMs;
  private long highestToken;
  private long leaseEndMs = -1;
  private long nextEnd = 1;
  private long acknowledged;

  SimulatedWorker(String id, String service, String rack, long nowMs) {
    this.id = id;
    this.service = service;
    this.rack = rack;
    this.bornAtMs = nowMs;
  }

  WorkerListing listing() {
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

  long clockMs(long nowMs) {
    return nowMs - bornAtMs;
  }

  /** Starts a new life that knows nothing of the one before. */
  void crash(long nowMs) {
    running.clear();
    ended.clear();
    highestRuns.clear();
    highestToken = 0;
    leaseEndMs = -1;
    nextEnd = 1;
    acknowledged = 0;
    bornAtMs = nowMs;
  }

  /** Ends what has run its time, was stopped or has lost its lease. */
  void advance(long nowMs) {
    boolean isLapsed = clockMs(nowMs) > leaseEndMs;
    List<Run> over = new ArrayList<>();
    for (Run run : running.values()) {
      if (isLapsed) {
        end(run, EndKind.LAPSED, over);
      } else if (run.stopsAtMs <= nowMs) {
        end(run, EndKind.STOPPED, over);
      } else if (run.endsAtMs <= nowMs) {
        end(run, run.isFailing ? EndKind.FAILED : EndKind.DONE, over);
      }
    }
    over.forEach(run -> running.remove(run.task));
  }

  private void end(Run run, EndKind how, List<Run> over) {
    over.add(run);
    ended.add(new EndedTask(nextEnd++, run.task, run.run, how, ""));
  }

  OrderReply start(Order.Start order, long token, long endsAtMs, boolean isFailing, long nowMs) {
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
    highestRuns.put(order.taskName(), order.run());
    running.put(order.taskName(), new Run(order.taskName(), order.run(), endsAtMs, isFailing));
    return reply(Outcome.OBEYED, nowMs);
  }

  OrderReply stop(Order.Stop order, long token, long nowMs) {
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
  WorkerReport renew(Renewal renewal, long token, long nowMs) {
    advance(nowMs);
    if (token < highestToken) {
      return null;
    }
    highestToken = token;
    if (renewal.leaseEndClockMs() >= 0) {
      extend(renewal.leaseEndClockMs(), nowMs);
    }
    acknowledged = Math.max(acknowledged, renewal.acknowledgedEnd());
    ended.removeIf(end -> end.number() <= acknowledged);
    List<RunningTask> list = new ArrayList<>();
    running.values().forEach(run -> list.add(new RunningTask(run.task, run.run, "", 100, 0)));
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
