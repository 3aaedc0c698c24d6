package org.laburnumarch.internal.node;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.schedule.Scheduler;
import org.laburnumarch.internal.schedule.StandingWork;
import org.laburnumarch.internal.schedule.TakeoverWait;
import org.laburnumarch.internal.schedule.UnplacedSteps;
import org.laburnumarch.internal.schedule.WaitReason;
import org.laburnumarch.internal.schedule.WaitSummary;
import org.tinylog.Logger;

/** Reports once a second why work waits, in the log and the metrics. */
final class WaitReporter {

  private static final long REPORT_EVERY_MS = 1_000;

  /** Number of awaited workers that a line names. */
  private static final int MAX_NAMED_WORKERS = 3;

  private final Scheduler scheduler;
  private final AtomicInteger takeoverHeldTasks = new AtomicInteger();
  private final Map<WaitReason, AtomicInteger> standingJobs = new EnumMap<>(WaitReason.class);
  private final Map<WaitReason, AtomicInteger> unplacedSteps = new EnumMap<>(WaitReason.class);
  private final AtomicInteger keptWorkers = new AtomicInteger();
  private long reportAtMs;

  WaitReporter(Scheduler scheduler, long nowMs) {
    this.scheduler = scheduler;
    this.reportAtMs = nowMs + REPORT_EVERY_MS;
    for (WaitReason reason : WaitReason.values()) {
      standingJobs.put(reason, new AtomicInteger());
      unplacedSteps.put(reason, new AtomicInteger());
    }
  }

  void registerGauges(Meters meters) {
    meters.registerGauge("takeover_held_tasks", takeoverHeldTasks::get);
    standingJobs.forEach(
        (reason, jobs) ->
            meters.registerGauge("standing_jobs{reason=\"" + reason.label() + "\"}", jobs::get));
    unplacedSteps.forEach(
        (reason, steps) ->
            meters.registerGauge("unplaced_steps{reason=\"" + reason.label() + "\"}", steps::get));
    meters.registerGauge("kept_workers", keptWorkers::get);
  }

  /** Reports if it is time for it. Must be called right after a round of decisions. */
  void runRound(long nowMs, long epochMs) {
    if (nowMs < reportAtMs) {
      return;
    }
    reportAtMs = nowMs + REPORT_EVERY_MS;
    reportTakeoverWaits(nowMs);
    WaitSummary waits = scheduler.waits(nowMs, epochMs);
    reportStandingWork(waits.standing());
    reportUnplacedSteps(waits.unplaced());
  }

  private void reportTakeoverWaits(long nowMs) {
    List<TakeoverWait> waits = scheduler.takeoverWaits();
    takeoverHeldTasks.set(waits.stream().mapToInt(TakeoverWait::tasks).sum());
    for (TakeoverWait wait : waits) {
      List<String> awaited = wait.awaitedWorkers();
      Logger.info(
          "owner: event=takeover-wait pool={} tasks={} unreported={} ended={} awaited={}"
              + " waits_for={} remaining_ms={}",
          wait.service(),
          wait.tasks(),
          wait.unreportedWorkers(),
          wait.endedWorkers(),
          awaited.size(),
          awaited.isEmpty()
              ? "-"
              : String.join(",", awaited.subList(0, Math.min(MAX_NAMED_WORKERS, awaited.size()))),
          Math.max(0, wait.overAtMs() - nowMs));
    }
  }

  private void reportStandingWork(List<StandingWork> standing) {
    standingJobs.values().forEach(jobs -> jobs.set(0));
    for (StandingWork work : standing) {
      standingJobs.get(work.reason()).addAndGet(work.jobs());
      Logger.info("jobs: event=waiting {}", work.fields());
    }
  }

  private void reportUnplacedSteps(List<UnplacedSteps> unplaced) {
    unplacedSteps.values().forEach(steps -> steps.set(0));
    keptWorkers.set(unplaced.stream().mapToInt(steps -> steps.keptFor().size()).sum());
    for (UnplacedSteps steps : unplaced) {
      steps.stepsByReason().forEach((reason, count) -> unplacedSteps.get(reason).addAndGet(count));
      Logger.info("jobs: event=unplaced {}", steps.fields());
    }
  }
}
