package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobProgress.FailedRuns;
import org.laburnumarch.internal.job.JobProgress.StepProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;

/** An accepted job with the occurrences that are due. */
final class Job {

  final JobSpec spec;

  /** Local time at which the job was submitted. */
  final long submittedAtMs;

  /** Whether another owner may have started tasks of it. */
  final boolean isInherited;

  /** Steps of the occurrences that are due and not done, by occurrence. */
  final TreeMap<Integer, List<Step>> occurrences = new TreeMap<>();

  /** Number of the next occurrence to make due. */
  int nextOccurrence;

  int doneOccurrences;
  boolean hasStarted;

  /** The status as decided; final ones are shown only when they are stored. */
  JobStatus status = JobStatus.QUEUED;

  /** The status as shown to callers. */
  JobStatus shownStatus = JobStatus.QUEUED;

  /** Local time at which the final status was shown; -1 before. */
  long finalAtMs = -1;

  /** Whether progress has changed since it was last handed to the store. */
  boolean isDirty;

  /** Whether the team had sent more jobs than its share when this one came. */
  boolean isSurplus;

  Job(JobSpec spec, long submittedAtMs, boolean isInherited) {
    this.spec = spec;
    this.submittedAtMs = submittedAtMs;
    this.isInherited = isInherited;
  }

  /** Adds the occurrences that are due. */
  void openOccurrences(long epochMs) {
    while (nextOccurrence < spec.occurrences()
        && (!spec.isTimed() || spec.dueEpochMs(nextOccurrence) <= epochMs)) {
      List<Step> steps = new ArrayList<>(spec.steps().size());
      for (int i = 0; i < spec.steps().size(); i++) {
        steps.add(new Step(this, nextOccurrence, i, spec.steps().get(i)));
      }
      occurrences.put(nextOccurrence, List.copyOf(steps));
      nextOccurrence++;
    }
  }

  /** Returns whether tasks of the step may start: all steps before it are done. */
  static boolean isUnlocked(Step step, List<Step> siblings) {
    for (int earlier : step.spec.after()) {
      if (earlier < siblings.size() && !siblings.get(earlier).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Closes occurrences whose steps are all done; completes the job when it was the last. */
  void closeDoneOccurrences() {
    occurrences
        .values()
        .removeIf(
            steps -> {
              boolean isDone = steps.stream().allMatch(Step::isDone);
              if (isDone) {
                doneOccurrences++;
              }
              return isDone;
            });
    if (doneOccurrences == spec.occurrences() && !status.isFinal()) {
      status = JobStatus.COMPLETED;
    }
  }

  /** Finds a task of an occurrence that is open; null if there is none. */
  Task find(int occurrence, int step, int index) {
    List<Step> steps = occurrences.get(occurrence);
    if (steps == null || step < 0 || step >= steps.size()) {
      return null;
    }
    List<Task> tasks = steps.get(step).tasks;
    return index < 0 || index >= tasks.size() ? null : tasks.get(index);
  }

  /** Returns what must outlive this process. */
  JobProgress progress() {
    List<StepProgress> steps = new ArrayList<>();
    if (!status.isFinal()) {
      // Occurrences that are done are named by an entry without tasks.
      for (int k = 0; k < nextOccurrence; k++) {
        List<Step> open = occurrences.get(k);
        if (open == null) {
          steps.add(new StepProgress(k, -1, new byte[0], List.of()));
        } else {
          open.stream().filter(Job::hasProgress).map(Job::progressOf).forEach(steps::add);
        }
      }
    }
    return new JobProgress(spec.id(), status, steps);
  }

  private static boolean hasProgress(Step step) {
    return step.doneCount > 0 || step.tasks.stream().anyMatch(task -> !task.failedRuns.isEmpty());
  }

  private static StepProgress progressOf(Step step) {
    byte[] done = new byte[(step.tasks.size() + 7) / 8];
    List<FailedRuns> failed = new ArrayList<>();
    for (int i = 0; i < step.tasks.size(); i++) {
      Task task = step.tasks.get(i);
      if (task.isDone) {
        done[i / 8] |= (byte) (1 << (i % 8));
      }
      if (!task.failedRuns.isEmpty()) {
        failed.add(new FailedRuns(i, List.copyOf(task.failedRuns)));
      }
    }
    return new StepProgress(step.occurrence, step.number, done, failed);
  }

  /** Takes over what an earlier owner stored. */
  void restore(JobProgress progress, long epochMs) {
    status = progress.status();
    shownStatus = status;
    if (status.isFinal()) {
      return;
    }
    openOccurrences(epochMs);
    for (StepProgress stored : progress.steps()) {
      hasStarted = true;
      if (stored.step() < 0) {
        if (occurrences.remove(stored.occurrence()) != null) {
          doneOccurrences++;
        }
        continue;
      }
      restoreStep(stored);
    }
    closeDoneOccurrences();
  }

  private void restoreStep(StepProgress stored) {
    for (int i = 0; i < stored.done().length * 8; i++) {
      Task task = find(stored.occurrence(), stored.step(), i);
      if (task != null && (stored.done()[i / 8] & (1 << (i % 8))) != 0) {
        task.step.markDone(task);
      }
    }
    for (FailedRuns failed : stored.failedRuns()) {
      Task task = find(stored.occurrence(), stored.step(), failed.index());
      if (task != null) {
        task.failedRuns.addAll(failed.runs());
      }
    }
  }
}
