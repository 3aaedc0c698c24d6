package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/** An in-memory worker with leases, lagging usage reports and job failures. */
final class FakeWorker {

  private static final long USAGE_LAG_MS = 2_000;
  private static final long CHECKPOINT_MS = 500;

  final String name;
  final String dataCentre;

  /** How often each attempt was started here since the beginning; for assertions only. */
  final Map<AttemptId, Integer> startCounts = new TreeMap<>(FakeWorker::compare);

  final List<AttemptId> startedThisTick = new ArrayList<>();
  boolean failsEverything;
  boolean checksToken = true;
  boolean checksLease = true;
  boolean remembersEnded = true;
  private final JobBehaviour jobs;
  private final Map<AttemptId, Run> running = new LinkedHashMap<>();
  private final Map<AttemptId, WorkerReport.Result> ended = new LinkedHashMap<>();
  private final Map<AttemptId, Long> rememberedUntilMs = new LinkedHashMap<>();
  private long fencingOffset = -1;
  private final long clockOffsetMs;
  private long nowMs;

  FakeWorker(String name, String dataCentre, long clockOffsetMs, JobBehaviour jobs) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.clockOffsetMs = clockOffsetMs;
    this.jobs = jobs;
  }

  Iterable<AttemptId> running() {
    return running.keySet();
  }

  /**
   * Advances the clock; ends attempts that are finished, checkpointed or whose lease has expired.
   */
  void tick(long newNowMs) {
    nowMs = newNowMs + clockOffsetMs;
    startedThisTick.clear();
    for (AttemptId id : List.copyOf(running.keySet())) {
      Run run = running.get(id);
      if (run.leaseUntilMs <= nowMs || run.checkpointAtMs <= nowMs) {
        end(id, WorkerReport.Result.STOPPED);
      } else if (run.endsAtMs <= nowMs) {
        boolean fails = failsEverything || jobs.fails(run.job);
        end(id, fails ? WorkerReport.Result.FAILED : WorkerReport.Result.SUCCEEDED);
      }
    }
    rememberedUntilMs.values().removeIf(until -> until <= nowMs);
  }

  WorkerReport exchange(WorkerOrder order) {
    if (!checksToken || order.fencingOffset() >= fencingOffset) {
      fencingOffset = Math.max(fencingOffset, order.fencingOffset());
      applyOrder(order);
    }
    List<WorkerReport.Running> runningNow = new ArrayList<>();
    running.forEach((id, run) -> runningNow.add(reported(id, run)));
    List<WorkerReport.Ended> endedNow = new ArrayList<>();
    ended.forEach((id, result) -> endedNow.add(new WorkerReport.Ended(id, result)));
    return new WorkerReport(name, "i-" + name, nowMs, fencingOffset, runningNow, endedNow);
  }

  private void applyOrder(WorkerOrder order) {
    order.acknowledgedEnds().forEach(ended::remove);
    for (AttemptId id : order.stops()) {
      if (!ended.containsKey(id)) {
        end(id, WorkerReport.Result.STOPPED);
      }
    }
    boolean isLeaseValid =
        order.incarnation().equals("i-" + name) && order.leaseUntilWorkerMs() > nowMs;
    if (checksLease && !isLeaseValid) {
      return;
    }
    for (AttemptId id : order.renewals()) {
      Run run = running.get(id);
      if (run != null) {
        run.leaseUntilMs = Math.max(run.leaseUntilMs, order.leaseUntilWorkerMs());
      }
    }
    for (AttemptId id : order.checkpoints()) {
      Run run = running.get(id);
      if (run != null) {
        run.checkpointAtMs = Math.min(run.checkpointAtMs, nowMs + CHECKPOINT_MS);
      }
    }
    if (!checksLease || order.startUntilWorkerMs() > nowMs) {
      order.starts().forEach(start -> start(start, order.leaseUntilWorkerMs()));
    }
  }

  private void start(WorkerOrder.StartOrder start, long leaseUntilMs) {
    AttemptId id = start.id();
    if (running.containsKey(id) || (remembersEnded && rememberedUntilMs.containsKey(id))) {
      return;
    }
    Run run = new Run(start.job(), nowMs);
    run.leaseUntilMs = leaseUntilMs;
    run.endsAtMs = nowMs + (failsEverything ? 300 : jobs.durationMs(start.job()));
    running.put(id, run);
    startCounts.merge(id, 1, Integer::sum);
    startedThisTick.add(id);
  }

  private void end(AttemptId id, WorkerReport.Result result) {
    running.remove(id);
    ended.put(id, result);
    rememberedUntilMs.put(id, nowMs + TaskTimes.LEASE_MS);
  }

  private WorkerReport.Running reported(AttemptId id, Run run) {
    boolean isUsageKnown = nowMs - run.startedAtMs >= USAGE_LAG_MS;
    return new WorkerReport.Running(
        id, isUsageKnown ? 1_000 : 0, isUsageKnown ? jobs.usedMemoryMb(run.job) : 0);
  }

  private static int compare(AttemptId left, AttemptId right) {
    int byTask = left.task().compareTo(right.task());
    return byTask != 0 ? byTask : Integer.compare(left.attempt(), right.attempt());
  }

  /** Run time, memory usage and result of jobs; the same on every worker. */
  interface JobBehaviour {
    long durationMs(String job);

    int usedMemoryMb(String job);

    boolean fails(String job);
  }

  private static final class Run {
    final String job;
    final long startedAtMs;
    long leaseUntilMs;
    long endsAtMs;
    long checkpointAtMs = Long.MAX_VALUE;

    Run(String job, long startedAtMs) {
      this.job = job;
      this.startedAtMs = startedAtMs;
    }
  }
}
