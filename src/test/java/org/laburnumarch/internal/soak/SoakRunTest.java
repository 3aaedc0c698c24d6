package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the promises to callers and workers against faults that strike real processes. Longer runs
 * with fresh seeds: {@code laburnumarch soak --runs 50 --seed N}.
 */
class SoakRunTest {

  private static final int PORTS = 300;

  @TempDir private Path directory;

  private void shouldKeepAllPromises(long seed, int daemons, int seconds) throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORTS);
        SoakRun run = new SoakRun(seed, daemons, seconds * 1_000L, directory, ports.first())) {
      SoakRun.Result result = run.run();
      assertThat(result.breaches()).as("seed %d, faults: %s", seed, result.faults()).isEmpty();
      assertThat(result.acceptedJobs()).isPositive();
      assertThat(result.starts()).isGreaterThanOrEqualTo(result.acceptedJobs());
    }
  }

  @Nested
  class UnderFaults {

    @Test
    void shouldKeepAllPromisesForAShortWhile() throws Exception {
      shouldKeepAllPromises(1, 3, 8);
    }
  }

  /** Seeds that failed once. */
  @Nested
  class OnceFailed {

    /**
     * 100: tasks ran twice, because a report of a worker's earlier life was taken for one of its
     * present life. 103: the same, because the present life was sent an acknowledgement that was
     * meant for the earlier one, and because a start that it had obeyed was given up.
     */
    @ParameterizedTest
    @CsvSource({"100, 3, 15", "103, 3, 15"})
    void shouldKeepAllPromisesNow(long seed, int daemons, int seconds) throws Exception {
      shouldKeepAllPromises(seed, daemons, seconds);
    }
  }
}
