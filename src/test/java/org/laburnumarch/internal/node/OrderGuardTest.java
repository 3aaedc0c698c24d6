package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.node.OrderGuard.Permission;

class OrderGuardTest {

  private static final long TAKEN_OVER_MS = 20_000;
  private static final long FRESH_MS = 300;

  private final OwnerRecord earlier = new OwnerRecord(4, "n/1", "10.0.0.1", 7_000, 9, false, 0);
  private final OrderGuard guard = new OrderGuard(TAKEN_OVER_MS, Optional.of(earlier));

  /** Guards against two owners that order at the same moment around a takeover. */
  @Test
  void shouldWaitWhileTheEarlierOwnerMayStillOrder() {
    assertThat(guard.permission(TAKEN_OVER_MS + 1_100, FRESH_MS)).isEqualTo(Permission.NOTHING);
    assertThat(guard.permission(TAKEN_OVER_MS + 1_200, FRESH_MS)).isEqualTo(Permission.ALL);
  }

  /**
   * Guards against late capacity: an owner that is told to stop as a peak begins leaves the pool
   * short, and the next one must not wait for orders that cannot come.
   */
  @Test
  void shouldMoveAtOnceWhenTheEarlierOwnerHasStopped() {
    guard.onEarlierOwnerStopped();
    assertThat(guard.permission(TAKEN_OVER_MS + 10, FRESH_MS)).isEqualTo(Permission.MOVES);
    OrderGuard afterRelease = new OrderGuard(TAKEN_OVER_MS, Optional.of(earlier.released()));
    assertThat(afterRelease.permission(TAKEN_OVER_MS, FRESH_MS)).isEqualTo(Permission.MOVES);
  }

  /** Guards against an owner that was paused and goes on with a plan that has run out. */
  @Test
  void shouldOrderNothingWithAnOldRenewal() {
    assertThat(guard.permission(TAKEN_OVER_MS + 60_000, 1_300)).isEqualTo(Permission.NOTHING);
  }

  @Test
  void shouldOrderAtOnceInANewFleet() {
    OrderGuard first = new OrderGuard(TAKEN_OVER_MS, Optional.empty());
    assertThat(first.permission(TAKEN_OVER_MS, FRESH_MS)).isEqualTo(Permission.ALL);
  }
}
