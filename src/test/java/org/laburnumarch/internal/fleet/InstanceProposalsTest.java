package org.laburnumarch.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.state.ControlLogFixture;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.spi.ListedInstance;

/** Guards against waves of moves that a late or faulty instance list causes. */
class InstanceProposalsTest {
  private static final ListedInstance NEW = minion("i-new", "a", ListedInstance.State.LIVE);

  private final InstanceProposals proposals = new InstanceProposals();
  private ControlLogFixture fixture;

  @BeforeEach
  void join() {
    fixture = ControlLogFixture.withFleet();
    fixture.joinCounting("m1");
  }

  private static ListedInstance minion(String id, String pool, ListedInstance.State state) {
    return new ListedInstance(
        id, ListedInstance.Kind.MINION, "north", "rack", "10.0.0.1:80", pool, state);
  }

  private List<RecordBody> list(long nowMs, ListedInstance... instances) {
    return proposals.onList(List.of(instances), fixture.state(), "m1", nowMs);
  }

  @Nested
  class NewInstances {

    @Test
    void shouldBeAddedWhenListedTwice() {
      assertThat(list(0, NEW)).isEmpty();
      assertThat(list(2_000, NEW))
          .containsExactly(
              new RecordBody.InstanceAdded("i-new", "a", "north", "rack", "10.0.0.1:80"));
    }

    @Test
    void shouldGoToTheSparePoolIfTheirPoolIsNotInTheText() {
      ListedInstance minionOfUnknownPool = minion("i-new", "unknown", ListedInstance.State.LIVE);
      list(0, minionOfUnknownPool);
      assertThat(list(2_000, minionOfUnknownPool))
          .singleElement()
          .isInstanceOfSatisfying(
              RecordBody.InstanceAdded.class,
              added ->
                  assertThat(added.pool())
                      .isEqualTo(fixture.state().text().orElseThrow().fleet().sparePool()));
    }

    @Test
    void shouldNotBeAddedWhileLeaving() {
      ListedInstance leaving = minion("i-new", "a", ListedInstance.State.LEAVING);
      list(0, leaving);
      assertThat(list(2_000, leaving)).isEmpty();
    }

    @Test
    void shouldNotBeProposedAgainAtOnce() {
      list(0, NEW);
      list(2_000, NEW);
      assertThat(list(4_000, NEW)).isEmpty();
      assertThat(list(7_000, NEW)).hasSize(1);
    }

    @Test
    void shouldBeLeftToTheirProposer() {
      list(0, NEW);
      assertThat(proposals.onList(List.of(NEW), fixture.state(), "other", 2_000)).isEmpty();
    }
  }

  @Nested
  class MissingInstances {

    @BeforeEach
    void add() {
      fixture.addInstance("i-old", "a", "north");
    }

    @Test
    void shouldStayBeforeTheRemovalDelay() {
      list(0);
      assertThat(list(InstanceProposals.REMOVE_AFTER_MS - 1)).isEmpty();
    }

    @Test
    void shouldBeRemovedAfterTheRemovalDelay() {
      list(0);
      assertThat(list(InstanceProposals.REMOVE_AFTER_MS))
          .containsExactly(new RecordBody.InstanceRemoved("i-old"));
    }

    @Test
    void shouldCountFromTheLastTimeTheyWereReported() {
      list(0);
      list(30_000, minion("i-old", "a", ListedInstance.State.LIVE));
      list(31_000);
      assertThat(list(InstanceProposals.REMOVE_AFTER_MS + 10_000)).isEmpty();
    }
  }
}
