package org.laburnumarch.internal.task;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.TaskClass;
import org.laburnumarch.internal.state.TaskPhase;
import org.laburnumarch.internal.state.TaskSize;
import org.laburnumarch.internal.state.TaskSpec;
import org.laburnumarch.spi.AttemptId;

/** Guards against urgent tasks that wait until other tasks have ended on their own. */
class UrgentStartTest {

  private static final long URGENT_START_MS = 2_400;
  private static final TaskSize SIZE = new TaskSize(100, 100, 1);

  private final TestFleet fleet =
      new TestFleet(RandomSource.XO_RO_SHI_RO_128_PP.create(1), TaskTimes.standard());
  private final FakeWorker worker = new FakeWorker("w", "north", 0, new LongJobs());

  private void submit(String task, String team, TaskClass taskClass) {
    fleet.write(
        new RecordBody.TasksAccepted(List.of(new TaskSpec(task, team, "job", SIZE, 1, taskClass))));
  }

  private void runFor(long ms) {
    for (long endMs = fleet.nowMs + ms; fleet.nowMs < endMs; ) {
      fleet.step(null);
    }
    assertThat(fleet.violation).isEmpty();
  }

  private void fillWorker(TaskClass taskClass) {
    fleet.join("m");
    fleet.addWorker(worker, new TaskSize(1_000, 1_000, 2));
    runFor(20_000);
    submit("low1", "red", taskClass);
    submit("low2", "red", taskClass);
    runFor(10_000);
    assertThat(worker.running()).hasSize(2);
  }

  @Test
  void shouldCheckpointPreemptibleTasks() {
    fillWorker(TaskClass.CHECKPOINTABLE);
    submit("urgent", "blue", TaskClass.STEADY);
    runFor(URGENT_START_MS);
    assertThat(worker.running()).contains(new AttemptId("urgent", 1));
  }

  @Test
  void shouldNotPreemptSteadyTasks() {
    fillWorker(TaskClass.STEADY);
    submit("urgent", "blue", TaskClass.STEADY);
    runFor(URGENT_START_MS);
    assertThat(worker.running()).hasSize(2);
    assertThat(fleet.phase("urgent")).isEqualTo(TaskPhase.WAITING);
  }

  private static final class LongJobs implements FakeWorker.JobBehaviour {
    @Override
    public long durationMs(String job) {
      return 600_000;
    }

    @Override
    public int usedMemoryMb(String job) {
      return 100;
    }

    @Override
    public boolean fails(String job) {
      return false;
    }
  }
}
