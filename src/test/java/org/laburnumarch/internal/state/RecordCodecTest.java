package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.SectionPatch;

class RecordCodecTest {

  static List<RecordBody> bodies() {
    return List.of(
        new RecordBody.ConfigChanged(
            3, new SectionPatch(Map.of("team x", Map.of("a", "b")), List.of("y")), "d"),
        new RecordBody.KeyGranted("k", "t", "d"),
        new RecordBody.KeyRevoked("k"),
        new RecordBody.DataCentreTakenOut("d"),
        new RecordBody.DataCentreReturned("d"),
        new RecordBody.MemberJoined("m", "i", "d", "10.0.0.1:2"),
        new RecordBody.MemberSuspected("m", "n"),
        new RecordBody.MemberAlive("m"),
        new RecordBody.MemberExpelled("m", "n", ExpulsionReason.GONE),
        new RecordBody.MemberLeft("m"),
        new RecordBody.MemberAcknowledged(
            "m", Long.MAX_VALUE, List.of(new TransferTotals("d", "t", 1, 2, 3))),
        new RecordBody.AllowanceClaimed("m", List.of(new TeamUnits("t", 4))),
        new RecordBody.AllowanceReclaimed(List.of("m")),
        new RecordBody.InstanceAdded("i", "p", "d", "r", "a"),
        new RecordBody.InstanceRemoved("i"),
        new RecordBody.InstanceMoved("i", "p", "q"),
        new RecordBody.MaintenanceStarted("i"),
        new RecordBody.MaintenanceFinished("i", true),
        new RecordBody.TasksAccepted(
            List.of(
                new TaskSpec("t", "red", "j", new TaskSize(1, 2, 3), 4, TaskClass.CHECKPOINTABLE))),
        new RecordBody.TasksStarted("m", 7, List.of(new TaskStart("t", 1, "w"))),
        new RecordBody.TasksEnded("m", List.of(new TaskEnd("t", 1, AttemptEnd.LOST))),
        new RecordBody.TasksCancelled(List.of("t")),
        new RecordBody.WorkerChanged("w", "north", new TaskSize(1, 2, 3), true));
  }

  private static byte[] encoded(RecordBody body) {
    return RecordCodec.encode(new Envelope("op", "author", 5, body)).get();
  }

  private static ResultCode refusal(byte[] bytes) {
    return RecordCodec.decode(bytes).getLeft().code();
  }

  private static byte[] versioned(byte[] fields) {
    byte[] bytes = new byte[fields.length + 1];
    bytes[0] = RecordCodec.FORMAT_VERSION;
    System.arraycopy(fields, 0, bytes, 1, fields.length);
    return bytes;
  }

  /** Guards against bytes in the log that make every daemon throw at the same record. */
  @Property(tries = 2000, seed = "1")
  void shouldNeverThrowOnAnyBytes(@ForAll byte[] bytes) {
    assertThat(RecordCodec.decode(versioned(bytes)).isLeft()).isTrue();
  }

  /** As above, with bytes that differ little from a valid record. */
  @Property(tries = 2000, seed = "2")
  void shouldNeverThrowOnAChangedByte(@ForAll int position, @ForAll byte value) {
    byte[] bytes = encoded(bodies().get(10));
    bytes[Math.floorMod(position, bytes.length)] = value;
    assertThat(RecordCodec.decode(bytes)).isNotNull();
  }

  @Nested
  class WhenDecodingWhatWasEncoded {

    /** Guards against a kind of record that is not decoded to what was encoded. */
    @ParameterizedTest
    @MethodSource("org.laburnumarch.internal.state.RecordCodecTest#bodies")
    void shouldReturnTheSameRecord(RecordBody body) {
      assertThat(RecordCodec.decode(encoded(body)).get())
          .isEqualTo(new Envelope("op", "author", 5, body));
    }

    @Test
    void shouldReturnTheBytesOfASnapshot() {
      var body = new RecordBody.SnapshotTaken(7, new byte[] {1, 2, 3});
      var decoded = (RecordBody.SnapshotTaken) RecordCodec.decode(encoded(body)).get().body();
      assertThat(decoded.state()).containsExactly(1, 2, 3);
    }

    /** Guards against a kind of record without a short name for the log. */
    @Test
    void shouldCoverEveryKindOfRecord() {
      assertThat(RecordBody.class.getPermittedSubclasses())
          .containsExactlyInAnyOrder(
              Arrays.stream(RecordKind.values())
                  .map(RecordKind::bodyType)
                  .toArray(Class<?>[]::new));
    }
  }

  @Nested
  class WhenDecodingFaultyBytes {

    @Test
    void shouldRefuseEveryTruncation() {
      byte[] bytes = encoded(bodies().get(0));
      for (int length = 0; length < bytes.length; length++) {
        assertThat(refusal(Arrays.copyOf(bytes, length))).isEqualTo(ResultCode.RECORD_MALFORMED);
      }
    }

    @Test
    void shouldRefuseTrailingBytes() {
      byte[] bytes = encoded(bodies().get(2));
      assertThat(refusal(Arrays.copyOf(bytes, bytes.length + 1)))
          .isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @Test
    void shouldRefuseAnotherFormatVersion() {
      byte[] bytes = encoded(bodies().get(2));
      bytes[0] = 2;
      assertThat(refusal(bytes)).isEqualTo(ResultCode.RECORD_VERSION_UNSUPPORTED);
    }

    /** Guards against daemons of two versions that apply the same record differently. */
    @Test
    void shouldRefuseAnUnknownField() throws Exception {
      byte[] fields =
          MessagePackMapper.create()
              .writeValueAsBytes(
                  Map.of(
                      "operationId",
                      "op",
                      "author",
                      "a",
                      "createdAtEpochMs",
                      1,
                      "extra",
                      1,
                      "body",
                      Map.of("t", "kr", "keyId", "k")));
      assertThat(refusal(versioned(fields))).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @Test
    void shouldRefuseAMissingField() throws Exception {
      byte[] fields =
          MessagePackMapper.create()
              .writeValueAsBytes(
                  Map.of(
                      "operationId",
                      "op",
                      "createdAtEpochMs",
                      1,
                      "body",
                      Map.of("t", "kr", "keyId", "k")));
      assertThat(refusal(versioned(fields))).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    /** Guards against a length field that makes the parser allocate 2 GB. */
    @Test
    void shouldRefuseALengthBeyondTheEndOfTheBytes() {
      byte[] bin32 = {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xf0, 1};
      assertThat(refusal(versioned(bin32))).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @Test
    void shouldRefuseOversizedRecords() {
      var body = new RecordBody.SnapshotTaken(7, new byte[RecordCodec.MAX_RECORD_BYTES]);
      assertThat(RecordCodec.encode(new Envelope("op", "a", 5, body)).isLeft()).isTrue();
      assertThat(refusal(new byte[RecordCodec.MAX_RECORD_BYTES + 1]))
          .isEqualTo(ResultCode.RECORD_MALFORMED);
    }
  }
}
