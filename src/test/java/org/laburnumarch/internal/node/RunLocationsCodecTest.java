package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.schedule.RunLocations;

class RunLocationsCodecTest {

  @Test
  void shouldDecodeWhatAnOwnerHasLeft() throws IOException {
    RunLocations locations =
        new RunLocations(
            7,
            Map.of(
                new TaskKey("a", 0, 0, 0), Set.of("w1"),
                new TaskKey("a", 0, 1, 3), Set.of("w1"),
                new TaskKey("b", 2, 0, 1), Set.of("w1", "w2")),
            Map.of("w1", 4_000L, "w2", 0L),
            250);
    assertThat(RunLocationsCodec.decode(RunLocationsCodec.encode(locations))).isEqualTo(locations);
  }

  @Test
  void shouldRejectAnUnknownFormat() {
    byte[] encoded = RunLocationsCodec.encode(new RunLocations(1, Map.of(), Map.of(), 0));
    encoded[0] = 2;
    assertThatThrownBy(() -> RunLocationsCodec.decode(encoded)).isInstanceOf(IOException.class);
  }
}
