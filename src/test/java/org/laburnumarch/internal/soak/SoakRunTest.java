package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the promises to callers and workers against faults that strike real processes. Longer runs
 * with fresh seeds: {@code laburnumarch soak --runs 50 --seed N}.
 */
class SoakRunTest {

  private static final int PORTS = 300;
  private static final int DAEMONS = 3;
  private static final long SHORT_MS = 8_000;

  @TempDir private Path directory;

  private SoakRun.Result run(long seed) throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORTS);
        SoakRun run = new SoakRun(seed, DAEMONS, SHORT_MS, directory, ports.first())) {
      return run.run();
    }
  }

  @Nested
  class UnderFaults {

    @Test
    void shouldKeepAllPromises() throws Exception {
      SoakRun.Result result = run(1);
      assertThat(result.breaches()).as("faults: %s", result.faults()).isEmpty();
      assertThat(result.acceptedJobs()).isPositive();
      assertThat(result.starts()).isGreaterThanOrEqualTo(result.acceptedJobs());
    }
  }
}
