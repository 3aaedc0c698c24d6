package org.laburnumarch.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OutboundQueueTest {

  /** Guards against memory use that grows without bound while a peer does not read. */
  @Test
  void shouldDropTheOldestFramesBeyondMaxBytes() {
    OutboundQueue queue = new OutboundQueue(10, 1_000);
    assertThat(queue.add(new byte[6], 0)).isZero();
    assertThat(queue.add(new byte[5], 0)).isEqualTo(1);
    assertThat(queue.poll()).hasValueSatisfying(frame -> assertThat(frame).hasSize(5));
    assertThat(queue.poll()).isEmpty();
  }

  /** Guards against old reports that are sent after a reconnect and taken for current ones. */
  @Test
  void shouldDropExpiredFrames() {
    OutboundQueue queue = new OutboundQueue(10, 1_000);
    queue.add(new byte[1], 0);
    queue.add(new byte[2], 900);
    assertThat(queue.dropExpired(1_001)).isEqualTo(1);
    assertThat(queue.poll()).hasValueSatisfying(frame -> assertThat(frame).hasSize(2));
  }
}
