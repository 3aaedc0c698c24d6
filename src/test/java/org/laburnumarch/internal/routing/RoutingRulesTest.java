package org.laburnumarch.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.TreeMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.spi.ListedInstance;

class RoutingRulesTest {

  @Nested
  class Retries {

    /** Guards against retries that multiply an overload. */
    @Test
    void shouldAllowRetriesForATenthOfTheRequests() {
      RetryBudget budget = new RetryBudget();
      int retries = 0;
      for (int i = 0; i < 1_000; i++) {
        budget.countRequest();
        retries += budget.tryRetry(true, true, 0) ? 1 : 0;
      }
      assertThat(retries).isBetween(100, 110);
    }

    /** Guards against running a request twice that is not idempotent (invariant 8). */
    @Test
    void shouldNeverRetryANonIdempotentRequestThatWasSent() {
      assertThat(new RetryBudget().tryRetry(false, true, 0)).isFalse();
      assertThat(new RetryBudget().tryRetry(false, false, 0)).isTrue();
      assertThat(ConnectionRule.isIdempotent("POST")).isFalse();
      assertThat(ConnectionRule.isIdempotent("PATCH")).isFalse();
    }

    /** Guards against a request that is retried forever. */
    @Test
    void shouldRetryAtMostTwice() {
      assertThat(new RetryBudget().tryRetry(true, true, 1)).isTrue();
      assertThat(new RetryBudget().tryRetry(true, true, 2)).isFalse();
    }

    /** Guards against a first attempt that uses up all the time. */
    @Test
    void shouldLeaveTimeForRemainingAttempts() {
      assertThat(RetryBudget.attemptDeadlineMs(true, 0, 9_000, 0)).isEqualTo(3_000);
      assertThat(RetryBudget.attemptDeadlineMs(true, 1, 9_000, 3_000)).isEqualTo(6_000);
      assertThat(RetryBudget.attemptDeadlineMs(true, 2, 9_000, 6_000)).isEqualTo(9_000);
      assertThat(RetryBudget.attemptDeadlineMs(false, 0, 9_000, 0)).isEqualTo(9_000);
    }
  }

  @Nested
  class Connections {

    /** Guards against a non-idempotent request on a connection that was lost without notice. */
    @Test
    void shouldCarryNonIdempotentRequestsOnlyWhileFresh() {
      assertThat(ConnectionRule.mayCarry(false, 0, 1_000)).isTrue();
      assertThat(ConnectionRule.mayCarry(false, 0, 1_001)).isFalse();
      assertThat(ConnectionRule.mayCarry(true, 0, 60_000)).isTrue();
    }

    /** Guards against more than 64 connections to a minion from all seats together. */
    @Test
    void shouldDivideConnectionsOverSeats() {
      assertThat(ConnectionRule.connectionsPerSeat(64, 12)).isEqualTo(5);
      assertThat(ConnectionRule.connectionsPerSeat(4, 12)).isEqualTo(1);
    }
  }

  @Nested
  class Minions {
    private final MinionTable table = new MinionTable("p");

    private ControlState state(InstanceHealth health, boolean isOut) {
      ControlState empty = ControlState.empty();
      InstanceEntry m1 = new InstanceEntry("m1", "p", "dc1", "r", "127.0.0.1:1", health, 0);
      InstanceEntry m2 =
          new InstanceEntry("m2", "p", "dc2", "r", "127.0.0.1:2", InstanceHealth.AVAILABLE, 0);
      return new ControlState(
          0,
          0,
          empty.sections(),
          Optional.empty(),
          empty.keys(),
          TreeMap.of("dc1", new DataCentreEntry("dc1", isOut, 0)),
          empty.members(),
          empty.allowances(),
          TreeMap.of("m1", m1, "m2", m2),
          empty.operations(),
          empty.audit());
    }

    private Optional<String> choose(int outstandingAtM1, int outstandingAtM2, long nowMs) {
      Map<String, Integer> outstanding = Map.of("m1", outstandingAtM1, "m2", outstandingAtM2);
      return table.choose(new HashMap<>(Map.of("m1", 2, "m2", 2)), outstanding::get, nowMs);
    }

    /**
     * Guards against requests for minions that are drained, leaving, not listed or out of service.
     */
    @Test
    void shouldChooseOnlyAvailableMinions() {
      table.refresh(state(InstanceHealth.AVAILABLE, false), Map.of());
      assertThat(table.stateOf("m1", 0)).isEqualTo(MinionState.AVAILABLE);
      table.refresh(state(InstanceHealth.IN_MAINTENANCE, false), Map.of());
      assertThat(table.stateOf("m1", 0)).isEqualTo(MinionState.DRAINED);
      table.refresh(state(InstanceHealth.AVAILABLE, true), Map.of());
      assertThat(table.stateOf("m1", 0)).isEqualTo(MinionState.DATA_CENTRE_OUT);
      table.refresh(
          state(InstanceHealth.AVAILABLE, false), Map.of("m1", ListedInstance.State.LEAVING));
      assertThat(table.stateOf("m1", 0)).isEqualTo(MinionState.LEAVING);
      assertThat(table.stateOf("m2", 0)).isEqualTo(MinionState.NOT_LISTED);
      assertThat(choose(0, 0, 0)).isEmpty();
      assertThat(table.plannableMinions(8)).isEmpty();
    }

    /** Guards against an instance list that lags behind a minion's announcement (invariant 9). */
    @Test
    void shouldHonourALeavingAnnouncementOverTheInstanceList() {
      table.refresh(state(InstanceHealth.AVAILABLE, false), Map.of());
      table.recordLeaving("m1", 0);
      table.refresh(state(InstanceHealth.AVAILABLE, false), Map.of());
      assertThat(table.stateOf("m1", 59_999)).isEqualTo(MinionState.LEAVING);
      assertThat(table.stateOf("m1", 60_000)).isEqualTo(MinionState.AVAILABLE);
    }

    /** Guards against load on a failing minion, and against never using it again. */
    @Test
    void shouldProbeAFailingMinionAtGrowingIntervals() {
      table.refresh(state(InstanceHealth.AVAILABLE, true), Map.of());
      table.recordFailure("m2", 0);
      table.recordFailure("m2", 0);
      assertThat(choose(0, 0, 199)).isEmpty();
      assertThat(choose(0, 1, 200)).isEmpty();
      assertThat(choose(0, 0, 200)).contains("m2");
      assertThat(choose(0, 0, 201)).isEmpty();
      table.recordFailure("m2", 300);
      assertThat(choose(0, 0, 699)).isEmpty();
      assertThat(choose(0, 0, 700)).contains("m2");
      table.recordSuccess("m2");
      assertThat(choose(0, 1, 701)).contains("m2");
    }

    /** Guards against requests that pile up at one slow or failing minion. */
    @Test
    void shouldChooseTheLeastBusyMinionAndAvoidRecentFailures() {
      table.refresh(state(InstanceHealth.AVAILABLE, false), Map.of());
      assertThat(choose(1, 0, 0)).contains("m2");
      table.recordFailure("m2", 0);
      assertThat(choose(1, 0, 0)).contains("m1");
      assertThat(choose(2, 0, 0)).contains("m2");
      assertThat(choose(2, 2, 0)).isEmpty();
    }
  }
}
