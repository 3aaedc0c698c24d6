package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobProgress.CrashedTask;
import org.laburnumarch.internal.job.JobProgress.FailedRuns;
import org.laburnumarch.internal.job.JobProgress.StepProgress;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;

/** An accepted job with its due occurrences. */
final class Job {

  /**
   * Maximum number of tasks in unfinished occurrences; further occurrences that are due wait until
   * some of these are done. A schedule that begins long ago makes all its occurrences due at once.
   */
  private static final int MAX_OPEN_TASKS = 20_000;

  final JobSpec spec;

  /** Local time at which the job was submitted. */
  final long submittedAtMs;

  /** Steps of the occurrences that are due and not done, by occurrence. */
  final TreeMap<Integer, List<Step>> occurrences = new TreeMap<>();

  /** Number of the next occurrence that becomes due. */
  int nextOccurrence;

  int doneOccurrences;

  /** Occurrences that an earlier owner stored as done and that have not been reached yet. */
  private final Set<Integer> storedAsDone = new HashSet<>();

  boolean hasStarted;

  /** Latest local time at which a run of any of its tasks was known to go on; 0 if none was. */
  long lastSeenRunningAtMs;

  /** The current status; a final one is reported to callers only after it has been stored. */
  JobStatus status = JobStatus.QUEUED;

  /** The status as reported to callers. */
  JobStatus reportedStatus = JobStatus.QUEUED;

  /** Whether the job has been submitted; false if only its cancellation has arrived. */
  boolean isSubmitted = true;

  /**
   * Number of the batch that must be stored before the submission is confirmed; 0 if the job's own
   * record shows that it has been submitted.
   */
  long submissionBatchNumber;

  /** Local time at which the final status was first reported; -1 before. */
  long finalAtMs = -1;

  /**
   * Number of the latest batch that includes the job's progress; 0 if this owner has not changed
   * it.
   */
  long lastBatchNumber;

  /** Whether the job is within the agreement with its team, so that it goes before other work. */
  boolean isAgreed;

  /**
   * The services besides {@link JobSpec#service} whose pools may get runs of its tasks, with the
   * number of the batch that stores each; 0 if an earlier owner has stored it.
   */
  private final Map<String, Long> laterServices = new LinkedHashMap<>();

  private Set<String> earlierServices;

  /** Whether a run of an earlier owner may keep any task from being started. */
  boolean mayHaveHeldTasks;

  private EarlierRun initialEarlierRun;

  /**
   * Creates a job of which no progress is known.
   *
   * @param isInherited whether an earlier owner may have started tasks of it
   */
  Job(JobSpec spec, long submittedAtMs, boolean isInherited) {
    this.spec = spec;
    this.submittedAtMs = submittedAtMs;
    this.mayHaveHeldTasks = isInherited;
    this.initialEarlierRun = isInherited ? EarlierRun.ANYWHERE : EarlierRun.NONE;
    this.earlierServices = spec.service().isEmpty() ? Set.of() : Set.of(spec.service());
  }

  /** Creates a job of which nothing but its final status is known. */
  static Job ofFinalStatus(String id, JobStatus status) {
    Job job = new Job(new JobSpec(id, "", "", "", List.of(), 0, 0, 0, 0), 0, true);
    job.status = status;
    return job;
  }

  /**
   * Returns the services in whose pools earlier owners may have started its tasks; empty if they
   * may have in each.
   */
  Set<String> earlierServices() {
    return earlierServices;
  }

  /**
   * Returns whether a later owner will know that the pool of a service may have runs of its tasks,
   * so that they may start there.
   *
   * @param storedBatchNumber number of the last batch of progress that has been stored
   */
  boolean mayStartInPoolOf(String service, long storedBatchNumber) {
    return spec.service().isEmpty()
        || spec.service().equals(service)
        || laterServices.getOrDefault(service, Long.MAX_VALUE) <= storedBatchNumber;
  }

  /** Adds a service to whose pool the queue has gone to the progress that is to be stored next. */
  void addLaterService(String service, PendingChanges changes) {
    if (!laterServices.containsKey(service)) {
      laterServices.put(service, changes.add(this));
    }
  }

  private void restoreServices(List<String> stored) {
    stored.forEach(service -> laterServices.put(service, 0L));
    if (!spec.service().isEmpty()) {
      Set<String> services = new HashSet<>(stored);
      services.add(spec.service());
      earlierServices = Set.copyOf(services);
    }
  }

  /** Returns where an earlier owner may have left a run of a task that nothing is known of. */
  EarlierRun initialEarlierRun() {
    return initialEarlierRun;
  }

  /**
   * Sets where earlier owners may have left runs of all tasks, also of those that are due later.
   */
  void setEarlierRuns(EarlierRun earlierRun) {
    initialEarlierRun = earlierRun;
    for (List<Step> steps : occurrences.values()) {
      for (Step step : steps) {
        step.tasks.forEach(task -> task.earlierRun = earlierRun);
      }
    }
  }

  /** Adds the occurrences that have become due. */
  void addDueOccurrences(long epochMs) {
    while (nextOccurrence < spec.occurrences()
        && hasRoomForAnOccurrence()
        && (!spec.isTimed() || spec.dueEpochMs(nextOccurrence) <= epochMs)) {
      addNextOccurrence();
    }
  }

  private boolean hasRoomForAnOccurrence() {
    int tasks = spec.steps().stream().mapToInt(StepSpec::count).sum();
    return occurrences.isEmpty() || (occurrences.size() + 1L) * tasks <= MAX_OPEN_TASKS;
  }

  private void addNextOccurrence() {
    if (storedAsDone.remove(nextOccurrence)) {
      doneOccurrences++;
    } else {
      List<Step> steps = new ArrayList<>(spec.steps().size());
      for (int i = 0; i < spec.steps().size(); i++) {
        steps.add(new Step(this, nextOccurrence, i, spec.steps().get(i)));
      }
      occurrences.put(nextOccurrence, List.copyOf(steps));
    }
    nextOccurrence++;
  }

  /**
   * Adds all occurrences up to one that an earlier owner is known to have begun, even if it is not
   * due by this owner's time of day.
   */
  private void addBegunOccurrence(int occurrence) {
    while (nextOccurrence <= occurrence
        && nextOccurrence < spec.occurrences()
        && hasRoomForAnOccurrence()) {
      addNextOccurrence();
    }
  }

  /** Returns whether all steps that a step depends on are done, so that its tasks may start. */
  static boolean areDependenciesDone(Step step, List<Step> siblings) {
    for (int earlier : step.spec.after()) {
      if (earlier < siblings.size() && !siblings.get(earlier).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Removes occurrences whose steps are all done; completes the job after the last one. */
  void removeDoneOccurrences() {
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

  /** Finds a task of a begun and unfinished occurrence; null if there is none. */
  Task find(int occurrence, int step, int index) {
    addBegunOccurrence(occurrence);
    List<Step> steps = occurrences.get(occurrence);
    if (steps == null || step < 0 || step >= steps.size()) {
      return null;
    }
    List<Task> tasks = steps.get(step).tasks;
    return index < 0 || index >= tasks.size() ? null : tasks.get(index);
  }

  /** Returns whether the final status has been reported for longer than it has to be kept. */
  boolean isExpired(long retentionMs, long nowMs) {
    return finalAtMs >= 0 && nowMs - finalAtMs > retentionMs;
  }

  /** Returns the progress to store, from which a later owner continues. */
  JobProgress progress() {
    List<StepProgress> steps = new ArrayList<>();
    if (!status.isFinal()) {
      // A done occurrence is stored as one entry with step -1 and no tasks.
      storedAsDone.forEach(k -> steps.add(new StepProgress(k, -1, new byte[0], List.of())));
      for (int k = 0; k < nextOccurrence; k++) {
        List<Step> open = occurrences.get(k);
        if (open == null) {
          steps.add(new StepProgress(k, -1, new byte[0], List.of()));
        } else {
          open.stream().filter(Job::hasProgress).map(Job::progressOf).forEach(steps::add);
        }
      }
    }
    List<String> services = status.isFinal() ? List.of() : List.copyOf(laterServices.keySet());
    return new JobProgress(spec.id(), status, steps, crashedTasks(), services, isSubmitted);
  }

  private List<CrashedTask> crashedTasks() {
    return occurrences.values().stream()
        .flatMap(List::stream)
        .flatMap(step -> step.tasks.stream())
        .filter(task -> task.crashes > 0 && !task.isDone)
        .map(
            task ->
                new CrashedTask(
                    task.key.occurrence(),
                    task.key.step(),
                    task.key.index(),
                    task.crashes,
                    task.isSuspect))
        .toList();
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

  /** Restores the progress that an earlier owner stored. */
  void restore(JobProgress progress, long epochMs) {
    status = progress.status();
    reportedStatus = status;
    if (status.isFinal()) {
      return;
    }
    restoreServices(progress.laterServices());
    for (StepProgress stored : progress.steps()) {
      hasStarted = true;
      if (stored.step() < 0) {
        storedAsDone.add(stored.occurrence());
      }
    }
    addDueOccurrences(epochMs);
    progress.steps().stream().filter(stored -> stored.step() >= 0).forEach(this::restoreStep);
    progress.crashedTasks().forEach(this::restoreCrashes);
    removeDoneOccurrences();
  }

  private void restoreCrashes(CrashedTask stored) {
    hasStarted = true;
    Task task = find(stored.occurrence(), stored.step(), stored.index());
    if (task != null) {
      task.crashes = stored.crashes();
      task.isSuspect = stored.isSuspect();
    }
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
