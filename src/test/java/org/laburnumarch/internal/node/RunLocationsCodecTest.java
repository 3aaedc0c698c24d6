package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.schedule.RunLocations;
import org.laburnumarch.internal.schedule.RunLocations.Incarnation;

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
            Map.of(
                new TaskKey("a", 0, 0, 0), Set.of(),
                new TaskKey("a", 0, 1, 3), Set.of(),
                new TaskKey("b", 2, 0, 1), Set.of(new Incarnation("w2", 1_000L))),
            Map.of("w1", 4_000L, "w2", 0L),
            250);
    assertThat(RunLocationsCodec.decode(RunLocationsCodec.encode(locations))).isEqualTo(locations);
  }

  @Test
  void shouldRejectAnUnknownFormat() {
    byte[] encoded = RunLocationsCodec.encode(new RunLocations(1, Map.of(), Map.of(), Map.of(), 0));
    encoded[0] = 3;
    assertThatThrownBy(() -> RunLocationsCodec.decode(encoded)).isInstanceOf(IOException.class);
  }

  @Test
  void shouldNotForgetLocationsThatADaemonOfAnEarlierBuildHasLeft() throws IOException {
    byte[] format1 =
        HexFormat.of()
            .parseHex("0107cc" + "fa" + "81a27731cd0fa0" + "9191a27731" + "81a1619100000000");
    assertThat(RunLocationsCodec.decode(format1).workersByTask())
        .containsExactly(Map.entry(new TaskKey("a", 0, 0, 0), Set.of("w1")));
  }
}
