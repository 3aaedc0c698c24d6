package org.laburnumarch.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.state.RandomRecords;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.internal.state.StateDigest;
import org.laburnumarch.internal.state.TestTexts;
import org.laburnumarch.spi.LogRecord;

/** Feeds the same log to daemons in pages of different size and from different sources. */
class ConvergenceTest {

  private static final int RECORDS = 3_000;

  /** Guards against daemons that derive different states from the same records. */
  @Property(tries = 12, seed = "21")
  void shouldReachTheSameStateFromAnySource(@ForAll long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    RandomRecords source = new RandomRecords(random);
    FakeLog log = new FakeLog();
    TestDaemon steady = new TestDaemon(log, "steady");
    TestDaemon mixed = new TestDaemon(log, "mixed");
    TestDaemon slow = new TestDaemon(log, "slow");
    for (LogRecord record : source.upTo(RECORDS)) {
      log.appendAt(record);
      if (random.nextInt(4) == 0) {
        step(steady, 1 + random.nextInt(50));
      }
      if (random.nextInt(6) == 0) {
        stepMixed(mixed, steady, random);
      }
      if (random.nextInt(40) == 0) {
        step(slow, 1 + random.nextInt(20));
      }
      if (random.nextInt(50) == 0) {
        log.retainFrom(log.tail() - 300 - random.nextInt(300));
      }
    }
    TestDaemon late = new TestDaemon(log, "late");
    String expected = StateDigest.of(source.state());
    for (TestDaemon daemon : List.of(steady, mixed, slow, late)) {
      daemon.catchUp();
      assertThat(daemon.digest()).as(daemon.memberId).isEqualTo(expected);
      assertThat(daemon.alarms)
          .allSatisfy(alarm -> assertThat(alarm.message()).doesNotContain("differs"));
    }
    assertThat(source.acceptedCount()).isGreaterThan(RECORDS / 4);
  }

  private static void step(TestDaemon daemon, int maxRecords) {
    daemon.tick(100);
    daemon.read(maxRecords);
  }

  private static void stepMixed(TestDaemon daemon, TestDaemon peer, UniformRandomProvider random) {
    long nextOffset = daemon.follower.state().nextOffset();
    switch (random.nextInt(4)) {
      case 0 -> step(daemon, 1 + random.nextInt(9));
      case 1 ->
          daemon.collect(
              daemon.follower.onPeerRecords(
                  peer.follower.recordsFrom(Math.max(0, nextOffset - random.nextInt(5)), 2_000),
                  daemon.nowMs));
      case 2 ->
          daemon.collect(
              daemon.follower.onPeerRecords(
                  peer.follower.recordsFrom(nextOffset + 1, 2_000), daemon.nowMs));
      default -> {
        if (random.nextInt(20) == 0) {
          byte[] bytes = new SnapshotCodec(TestTexts.CHECKER).encode(peer.follower.state());
          daemon.collect(
              daemon.follower.onPeerSnapshot(
                  peer.follower.state().nextOffset(), bytes, daemon.nowMs));
        }
      }
    }
  }
}
