package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.laburnumarch.internal.admission.Admission;
import org.laburnumarch.internal.admission.Admission.Refusal;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.schedule.Scheduler;
import org.tinylog.Logger;

/** Asks admission about submitted jobs, and reports what it refuses. */
final class AdmissionControl {

  private final Admission admission = new Admission();
  private final Scheduler scheduler;
  private final Function<String, OptionalInt> projectedSize;
  private final Meters meters;

  /**
   * Creates the control.
   *
   * @param projectedSize the number of instances that a pool has or will have soon, by service;
   *     empty if unknown
   */
  AdmissionControl(
      Scheduler scheduler, Function<String, OptionalInt> projectedSize, Meters meters) {
    this.scheduler = scheduler;
    this.projectedSize = projectedSize;
    this.meters = meters;
  }

  /** Returns the refusal of a job that is not known yet; empty if the job is to be accepted. */
  Optional<JobReply> refusal(JobSpec job, long nowMs, long epochMs) {
    Optional<Refusal> refusal =
        scheduler
            .submission(job, projectedSize, nowMs, epochMs)
            .flatMap(submission -> admission.decide(submission, nowMs));
    refusal.ifPresent(
        reason -> {
          meters.count("refused_jobs_total", job.team());
          Logger.info(
              "admission: event=refused job={} queue={} team={} done_in_ms={} worthless_in_ms={}"
                  + " retry_after_ms={}",
              job.id(),
              job.queue(),
              job.team(),
              reason.doneInMs(),
              reason.worthlessInMs(),
              reason.retryAfterMs());
        });
    return refusal.map(reason -> JobReply.refuse(Code.OVERLOADED, reason.retryAfterMs()));
  }

  /** Returns the invitations of refused callers, for the next owner. */
  byte[] record(long nowMs, long epochMs) {
    return admission.record(nowMs, epochMs);
  }

  /** Continues with the invitations of an earlier owner. */
  void restore(byte[] encoded, long nowMs, long epochMs) throws IOException {
    admission.restore(encoded, nowMs, epochMs);
  }
}
