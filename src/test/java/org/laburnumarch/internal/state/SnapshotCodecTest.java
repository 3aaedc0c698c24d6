package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

class SnapshotCodecTest {

  private static final SnapshotCodec CODEC = new SnapshotCodec(TestTexts.CHECKER);

  /** Returns a state with entries in every table. */
  private static ControlState full() {
    ControlLogFixture fixture = ControlLogFixture.withFleet();
    fixture.joinCounting("m1", "m2", "m3");
    fixture.accept(new RecordBody.KeyGranted("k", "red", "a".repeat(64)));
    fixture.accept(new RecordBody.AllowanceClaimed("m1", List.of(new TeamUnits("red", 2))));
    fixture.addInstance("i", "a", "north");
    fixture.runTask("t", "m1", "w");
    fixture.accept(new RecordBody.DataCentreTakenOut("south"));
    fixture.refuse(new RecordBody.KeyRevoked("x"), ResultCode.KEY_UNKNOWN);
    fixture.accept(new RecordBody.MemberSuspected("m2", "m1"));
    fixture.accept(new RecordBody.MemberLeft("m3"));
    long epoch = fixture.allowance("red").epoch();
    fixture.acknowledge("m1", new TransferTotals("m3", "red", epoch, 1, 0));
    return fixture.state();
  }

  /**
   * Guards against a table that is missing in snapshots, so that the states of daemons differ after
   * a restart.
   */
  @Test
  void shouldRestoreTheWholeState() {
    ControlState restored = CODEC.decode(CODEC.encode(full())).get();
    assertThat(restored).isEqualTo(full());
    assertThat(StateDigest.of(restored)).isEqualTo(StateDigest.of(full()));
    assertThat(CODEC.digest(CODEC.encode(full())).get()).isEqualTo(StateDigest.of(full()));
  }

  @Test
  void shouldRestoreTheEmptyState() {
    assertThat(CODEC.decode(CODEC.encode(ControlState.empty())).get())
        .isEqualTo(ControlState.empty());
  }

  @Test
  void shouldIncludeEachTableInTheDigest() {
    ControlState state = full();
    assertThat(
            List.of(
                StateDigest.of(state),
                StateDigest.of(state.withNextOffset(99, state.logTimeEpochMs())),
                StateDigest.of(state.withKeys(state.keys().tail())),
                StateDigest.of(state.withMembers(state.members().tail())),
                StateDigest.of(state.withAllowances(state.allowances().tail())),
                StateDigest.of(state.withInstances(state.instances().tail())),
                StateDigest.of(state.withDepartures(state.departures().tail())),
                StateDigest.of(state.withTaskTables(state.taskTables().withTasks(TreeMap.empty()))),
                StateDigest.of(state.withTaskTables(state.taskTables().withoutWorker("w"))),
                StateDigest.of(state.withAudit(Vector.empty())),
                StateDigest.of(
                    state.withOperations(state.operations(), state.operationTimes().drop(1)))))
        .doesNotHaveDuplicates();
  }

  /** Guards against a start from a snapshot whose allowance units do not add up. */
  @Test
  void shouldRefuseAStateThatBreaksAnInvariant() {
    ControlState state = full();
    AllowanceEntry entry = state.allowances().get("red").get().withClaimed("m2", 1);
    AllowanceEntry broken =
        new AllowanceEntry("red", entry.epoch(), entry.limitUnits(), 9, entry.baseUnits());
    byte[] bytes = CODEC.encode(state.withAllowances(state.allowances().put("red", broken)));
    assertThat(CODEC.decode(bytes).getLeft().code()).isEqualTo(ResultCode.RECORD_MALFORMED);
  }

  @Test
  void shouldRefuseATextThatTheCheckerRefuses() {
    SnapshotCodec strict =
        new SnapshotCodec(
            sections -> Either.left(Vector.of(Refusal.of(ResultCode.UNKNOWN_SETTING, "no"))));
    assertThat(strict.decode(CODEC.encode(full())).isLeft()).isTrue();
  }

  @Test
  void shouldRefuseEveryTruncation() {
    byte[] bytes = CODEC.encode(full());
    for (int length = 0; length < bytes.length; length++) {
      assertThat(CODEC.decode(Arrays.copyOf(bytes, length)).isLeft()).isTrue();
    }
  }

  /** Guards against a corrupt snapshot that makes a starting daemon throw. */
  @Property(tries = 1000, seed = "13")
  void shouldNeverThrowOnAChangedByte(@ForAll int position, @ForAll byte value) {
    byte[] bytes = CODEC.encode(full());
    bytes[Math.floorMod(position, bytes.length)] = value;
    assertThat(CODEC.decode(bytes)).isNotNull();
  }
}
