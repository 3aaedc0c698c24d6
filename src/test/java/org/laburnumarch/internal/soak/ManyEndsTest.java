package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs so many small tasks that workers leave out ends of their reports during an outage. */
class ManyEndsTest {

  private static final int PORT_COUNT = 300;

  @TempDir private Path directory;

  /** Guards against second runs of tasks whose ends the lists of the workers leave out. */
  @Test
  void shouldNotStartTasksTwiceWhoseEndsAreLeftOutWhileALogIsDown() throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORT_COUNT);
        SoakRun run =
            new SoakRun(
                SoakKind.ISOLATED_FAULTS_OF_LOAD,
                SoakLoad.MANY_ENDS,
                1,
                3,
                25_000,
                directory,
                ports.first())) {
      SoakRun.Result result = run.run();
      assertThat(result.breaches()).as("faults: %s", result.faults()).isEmpty();
      assertThat(result.acceptedJobs()).isPositive();
    }
  }
}
