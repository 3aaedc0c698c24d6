package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A worker that can run tasks.
 *
 * @param fencingOffset the highest fencing token with which an attempt has been started on it
 * @param failedJobs distinct jobs whose failures count against it since its last success
 * @param isQuarantined whether it gets only one task at a time, as a probe, because of its failures
 * @param failedProbes number of probes that failed since the quarantine began
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkerEntry(
    String worker,
    String dataCentre,
    TaskSize capacity,
    long fencingOffset,
    List<String> failedJobs,
    boolean isQuarantined,
    int failedProbes) {

  public WorkerEntry {
    failedJobs = List.copyOf(failedJobs);
  }

  WorkerEntry withCapacity(TaskSize newCapacity) {
    return new WorkerEntry(
        worker, dataCentre, newCapacity, fencingOffset, failedJobs, isQuarantined, failedProbes);
  }

  WorkerEntry withFencingOffset(long offset) {
    return new WorkerEntry(
        worker,
        dataCentre,
        capacity,
        Math.max(fencingOffset, offset),
        failedJobs,
        isQuarantined,
        failedProbes);
  }

  WorkerEntry withoutFailures() {
    return new WorkerEntry(worker, dataCentre, capacity, fencingOffset, List.of(), false, 0);
  }

  WorkerEntry withFailures(List<String> jobs, boolean quarantined, int probes) {
    return new WorkerEntry(worker, dataCentre, capacity, fencingOffset, jobs, quarantined, probes);
  }
}
