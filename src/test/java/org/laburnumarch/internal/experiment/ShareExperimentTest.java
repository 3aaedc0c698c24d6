package org.laburnumarch.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ShareExperimentTest {

  /**
   * Guards against a change of the queue or the slot planner that loses their advantage over the
   * baseline.
   */
  @Test
  void shouldStayCloserToTheSharesThanTheBaseline() {
    ShareScenario scenario = ShareScenario.standard(2, 60, 100, 120_000);
    FairnessMeter.Result fair = new ShareSimulation(scenario, false, 1).run();
    FairnessMeter.Result baseline = new ShareSimulation(scenario, true, 1).run();
    assertThat(fair.meanPercent()).isLessThan(2).isLessThan(baseline.meanPercent() / 5);
    assertThat(fair.busyPercent()).isGreaterThan(93);
  }

  /** Guards against results that differ between runs with the same seed. */
  @Test
  void shouldRepeatARunFromItsSeed() {
    ShareScenario scenario = ShareScenario.standard(2, 60, 100, 60_000);
    assertThat(new ShareSimulation(scenario, false, 7).run())
        .isEqualTo(new ShareSimulation(scenario, false, 7).run());
  }

  /** Guards against entitlements that leave capacity unused while a team could use it. */
  @Test
  void shouldSplitWhatATeamDoesNotNeedOverTheOthers() {
    assertThat(
            WeightedMaxMinFairness.allocate(
                100, new double[] {0.5, 0.25, 0.25}, new double[] {10, 1_000, 1_000}))
        .containsExactly(10, 45, 45);
  }
}
