package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.JobProgress;
import org.laburnumarch.internal.job.JobSpec;

class JobTest {

  private static final long EPOCH_MS = 1_000_000;

  private static Job timedJob(int repeatCount, long firstDueEpochMs, long periodMs, int tasks) {
    JobSpec spec =
        new JobSpec(
            "a",
            TestJobs.QUEUE,
            TestJobs.TEAM,
            "program",
            List.of(TestJobs.step(tasks, 1_000)),
            repeatCount,
            firstDueEpochMs,
            periodMs,
            EPOCH_MS);
    return new Job(spec, 0, true);
  }

  private static JobProgress progressAfterFirstTask(int occurrence) {
    Job job = timedJob(4, EPOCH_MS, 1_000, 2);
    job.addDueOccurrences(EPOCH_MS + occurrence * 1_000L);
    Task done = job.find(occurrence, 0, 0);
    done.step.markDone(done);
    return job.progress();
  }

  /**
   * Guards against tasks that run twice. The next owner's time of day may lag behind that of the
   * one that began an occurrence, which is then not due yet, although its progress is stored.
   */
  @Test
  void shouldRestoreProgressOfAnOccurrenceThatIsNotDueYet() {
    Job job = timedJob(4, EPOCH_MS, 1_000, 2);
    job.restore(progressAfterFirstTask(2), EPOCH_MS + 1_500);
    assertThat(job.find(2, 0, 0).isDone).isTrue();
    assertThat(job.find(2, 0, 1).isDone).isFalse();
  }

  /** Guards against the same for a run that a worker reports and of which nothing is stored. */
  @Test
  void shouldFindATaskOfAnOccurrenceThatIsNotDueYet() {
    Job job = timedJob(4, EPOCH_MS, 1_000, 2);
    job.addDueOccurrences(EPOCH_MS);
    assertThat(job.find(3, 0, 1)).isNotNull();
    assertThat(job.find(4, 0, 1)).isNull();
  }

  @Test
  void shouldCountOccurrencesThatWereStoredAsDone() {
    Job earlier = timedJob(3, EPOCH_MS, 1_000, 1);
    earlier.addDueOccurrences(EPOCH_MS + 1_000);
    Task done = earlier.find(1, 0, 0);
    done.step.markDone(done);
    earlier.removeDoneOccurrences();
    Job job = timedJob(3, EPOCH_MS, 1_000, 1);
    job.restore(earlier.progress(), EPOCH_MS);
    job.addDueOccurrences(EPOCH_MS + 5_000);
    assertThat(job.doneOccurrences).isEqualTo(1);
    assertThat(job.occurrences.keySet()).containsExactly(0, 2);
  }

  /** Guards against running out of memory by a schedule all of whose occurrences are due. */
  @Test
  void shouldOpenOnlyAsManyOccurrencesAsAnOwnerCanHold() {
    Job job = timedJob(10_000, 0, 0, 500);
    job.addDueOccurrences(EPOCH_MS);
    assertThat(job.occurrences).hasSize(40);
    IntStream.range(0, 500)
        .mapToObj(index -> job.find(0, 0, index))
        .forEach(task -> task.step.markDone(task));
    job.removeDoneOccurrences();
    job.addDueOccurrences(EPOCH_MS);
    assertThat(job.occurrences).hasSize(40).containsKey(40);
  }
}
