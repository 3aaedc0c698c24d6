package org.laburnumarch.internal.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that daemons on larger instances claim the ownership first. */
class InstanceSizeTest {

  private static final InstanceSize SMALL = new InstanceSize(0.4, 10);
  private static final InstanceSize LARGE = new InstanceSize(1.5, 200);

  @Test
  void shouldNotDelayAnyClaimAmongEqualInstances() {
    assertThat(SMALL.claimDelayMs(List.of(SMALL, SMALL))).isZero();
    assertThat(LARGE.claimDelayMs(List.of(LARGE))).isZero();
  }

  @Test
  void shouldDelayClaimsOnSmallerInstances() {
    assertThat(LARGE.claimDelayMs(List.of(SMALL, LARGE))).isZero();
    assertThat(SMALL.claimDelayMs(List.of(SMALL, LARGE))).isGreaterThan(300);
  }

  /** Guards against an owner with enough processor time whose network link cannot carry orders. */
  @Test
  void shouldDelayClaimsOnInstancesWithASlowLink() {
    InstanceSize slowLink = new InstanceSize(LARGE.cores(), SMALL.linkMbps());
    assertThat(slowLink.claimDelayMs(List.of(slowLink, LARGE))).isGreaterThan(300);
  }

  @Test
  void shouldNotDelayClaimsIfNoOtherSizeIsKnown() {
    assertThat(SMALL.claimDelayMs(List.of())).isZero();
    assertThat(SMALL.claimDelayMs(List.of(InstanceSize.UNKNOWN))).isZero();
  }
}
