package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.runtime.RunTimes;

/** Tests how often the record is stored, and that a later owner can do without it. */
class RunTimesKeeperTest {

  private static final StepSpec STEP =
      StepSpec.ofTasks(1, new Resources(1_000, 1_000, 0), 500, java.util.List.of());

  private final Meters meters = new Meters();

  /** Guards against a store that is written too often, and against a record that is not read. */
  @Test
  void shouldStoreChangesAtMostEveryTwoSeconds() {
    RunTimes runTimes = new RunTimes();
    RunTimesKeeper keeper = new RunTimesKeeper(runTimes, meters);
    assertThat(keeper.stateToStore(0)).isEmpty();
    for (int i = 0; i < 20; i++) {
      runTimes.learn("q", STEP, 2_000);
    }
    assertThat(keeper.stateToStore(1_999)).isEmpty();
    OwnerState state = keeper.stateToStore(2_000).orElseThrow();
    runTimes.learn("q", STEP, 2_000);
    assertThat(keeper.stateToStore(4_000)).isEmpty();

    assertThat(meters.render())
        .contains("laburnumarch_run_time_calibration_ratio{queue=\"q\",quantile=\"0.9\"} ");

    JobStore.Contents contents = JobStore.Contents.empty();
    contents.states().put(state.name(), state.value());
    RunTimes later = new RunTimes();
    new RunTimesKeeper(later, meters).restore(contents);
    assertThat(later.expectedMs("q", STEP)).isBetween(1_600.0, 2_200.0);
  }

  /** Guards against a takeover that fails because of an unreadable record. */
  @Test
  void shouldStartAnewWithoutAReadableRecord() {
    JobStore.Contents contents = JobStore.Contents.empty();
    contents.states().put("runtimes", new byte[] {1, 2, 3});
    RunTimes runTimes = new RunTimes();
    new RunTimesKeeper(runTimes, meters).restore(contents);
    assertThat(runTimes.expectedMs("q", STEP)).isEqualTo(500);
  }
}
