package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against accepted work that is lost while operators restart daemons and replace workers:
 * tasks that wait for workers which have left, and requests that a stopping daemon has read and
 * does not answer. Longer runs with new seeds: {@code laburnumarch soak --planned --runs 50}.
 */
class PlannedWorkTest {

  private static final int PORT_COUNT = 300;

  @TempDir private Path directory;

  private void shouldLoseNoAcceptedWork(long seed, int daemons, int seconds) throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORT_COUNT);
        SoakRun run =
            new SoakRun(
                SoakKind.PLANNED_WORK, seed, daemons, seconds * 1_000L, directory, ports.first())) {
      SoakRun.Result result = run.run();
      assertThat(result.breaches()).as("seed %d, events: %s", seed, result.faults()).isEmpty();
      assertThat(result.acceptedJobs()).isPositive();
      assertThat(result.starts()).isGreaterThanOrEqualTo(result.acceptedJobs());
    }
  }

  /**
   * Guards against starts that wait after a takeover for workers which have left, and against
   * requests that are dropped when the shutdown of their daemon ends.
   */
  @Test
  void shouldLoseNoAcceptedWorkWithSeed1017() throws Exception {
    shouldLoseNoAcceptedWork(1017, 3, 8);
  }
}
