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
 * Learns the size of each team's jobs from usage.
 *
 * <p>The estimate is the second highest peak of the last attempts, so that one wild attempt does
 * not count. Until there are enough attempts, the declared size counts as a peak too.
 */
public final class LearnedSizes {

  private static final int ENOUGH_PEAKS = 3;
  private static final int MAX_PEAKS = 15;
  private static final int MAX_JOBS = 5_000;

  private final Map<String, ArrayDeque<Peak>> peaksByJob = new HashMap<>();

  /** Takes the usage of a running attempt; the highest value of each attempt counts. */
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

  /** Returns the size to reserve; accelerators are always as declared. */
  public TaskSize estimate(TaskSpec spec) {
    ArrayDeque<Peak> peaks = peaksByJob.get(key(spec));
    if (peaks == null) {
      return spec.size();
    }
    int milliProcessors = robust(peaks, p -> p.milliProcessors);
    int memoryMb = robust(peaks, p -> p.memoryMb);
    return peaks.size() >= ENOUGH_PEAKS
        ? new TaskSize(milliProcessors, memoryMb, spec.size().accelerators())
        : new TaskSize(
            Math.max(milliProcessors, spec.size().milliProcessors()),
            Math.max(memoryMb, spec.size().memoryMb()),
            spec.size().accelerators());
  }

  private static int robust(ArrayDeque<Peak> peaks, ToIntFunction<Peak> value) {
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
