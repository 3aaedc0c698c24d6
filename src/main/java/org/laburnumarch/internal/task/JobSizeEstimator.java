package org.laburnumarch.internal.task;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.laburnumarch.internal.state.TaskSize;
import org.laburnumarch.internal.state.TaskSpec;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerReport;

/**
 * Estimates the size of each team's jobs from the reported usage of their attempts.
 *
 * <p>The estimate is the second highest peak of the last attempts, so that a single outlier has no
 * effect. Until there are enough attempts, the estimate is at least the declared size.
 */
public final class JobSizeEstimator {

  private static final int MIN_PEAKS = 3;
  private static final int MAX_PEAKS = 15;
  private static final int MAX_JOBS = 5_000;

  private final Map<String, ArrayDeque<Peak>> peaksByJob = new HashMap<>();

  /** Records the usage of a running attempt. Each attempt counts with its highest values. */
  public void record(TaskSpec spec, WorkerReport.Running running) {
    if (running.usedMemoryMb() <= 0 && running.usedMilliProcessors() <= 0) {
      return;
    }
    if (peaksByJob.size() >= MAX_JOBS) {
      peaksByJob.clear();
    }
    ArrayDeque<Peak> peaks = peaksByJob.computeIfAbsent(key(spec), key -> new ArrayDeque<>());
    Peak peak = peaks.stream().filter(p -> p.id.equals(running.id())).findFirst().orElse(null);
    if (peak == null) {
      peak = new Peak(running.id());
      peaks.addLast(peak);
    }
    peak.milliProcessors = Math.max(peak.milliProcessors, running.usedMilliProcessors());
    peak.memoryMb = Math.max(peak.memoryMb, running.usedMemoryMb());
    if (peaks.size() > MAX_PEAKS) {
      peaks.removeFirst();
    }
  }

  /** Returns the estimated size. Accelerators are always as declared. */
  public TaskSize estimate(TaskSpec spec) {
    ArrayDeque<Peak> peaks = peaksByJob.get(key(spec));
    if (peaks == null) {
      return spec.size();
    }
    int milliProcessors = secondHighest(peaks, p -> p.milliProcessors);
    int memoryMb = secondHighest(peaks, p -> p.memoryMb);
    return peaks.size() >= MIN_PEAKS
        ? new TaskSize(milliProcessors, memoryMb, spec.size().accelerators())
        : new TaskSize(
            Math.max(milliProcessors, spec.size().milliProcessors()),
            Math.max(memoryMb, spec.size().memoryMb()),
            spec.size().accelerators());
  }

  private static int secondHighest(ArrayDeque<Peak> peaks, ToIntFunction<Peak> value) {
    int[] sorted = peaks.stream().mapToInt(value).sorted().toArray();
    return sorted[Math.max(0, sorted.length - 2)];
  }

  private static String key(TaskSpec spec) {
    return spec.team() + '\n' + spec.job();
  }

  private static final class Peak {
    final AttemptId id;
    int milliProcessors;
    int memoryMb;

    Peak(AttemptId id) {
      this.id = id;
    }
  }
}
