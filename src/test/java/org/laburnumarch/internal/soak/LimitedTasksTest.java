package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs steps with a limit for each worker in pools that have fewer workers than they need. */
class LimitedTasksTest {

  private static final int PORT_COUNT = 300;

  @TempDir private Path directory;

  /**
   * Guards against rounds that leave out steps whenever dozens of others wait for more workers, so
   * that accepted jobs have nothing running in a pool that is mostly free.
   */
  @Test
  void shouldStartJobsBehindDozensOfStepsAtTheirLimit() throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORT_COUNT);
        SoakRun run =
            new SoakRun(
                SoakKind.QUIET, SoakLoad.LIMITED_TASKS, 1, 3, 10_000, directory, ports.first())) {
      SoakRun.Result result = run.run();
      assertThat(result.breaches()).isEmpty();
      assertThat(result.acceptedJobs()).isPositive();
    }
  }
}
