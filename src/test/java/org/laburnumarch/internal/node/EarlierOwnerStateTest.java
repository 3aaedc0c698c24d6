package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;

class EarlierOwnerStateTest {

  private final Optional<OwnerRecord> earlier =
      Optional.of(new OwnerRecord(4, "front-1/99", "10.0.0.1", 7_000, 9, false, 0));

  private EarlierOwnerState judge(String daemon, String holder, long term) {
    return EarlierOwnerState.of(daemon, new Heartbeat(holder, term, 0, 0, 1, 0), earlier);
  }

  /**
   * Guards against taking a heartbeat that the earlier owner sent by itself for its answer to the
   * announcement. Work of before the takeover then waits for the longest time that an owner may go
   * on, although the earlier one stops a moment later.
   */
  @Test
  void shouldNotTakeAHeartbeatOfTheOldTermForAnAnswer() {
    assertThat(judge("front-1", "front-1/99", 4)).isEqualTo(EarlierOwnerState.STILL_OWNER);
  }

  @Test
  void shouldSeeThatItHasSteppedDownOrStartedAgain() {
    assertThat(judge("front-1", "front-1/99", 0)).isEqualTo(EarlierOwnerState.STOPPED);
    assertThat(judge("front-1", "front-1/120", 0)).isEqualTo(EarlierOwnerState.STOPPED);
  }

  @Test
  void shouldIgnoreOtherDaemons() {
    assertThat(judge("front-2", "front-2/99", 0)).isEqualTo(EarlierOwnerState.OTHER_DAEMON);
    assertThat(judge("front-1", "front-1/99", 4)).isNotEqualTo(EarlierOwnerState.OTHER_DAEMON);
    assertThat(
            EarlierOwnerState.of(
                "front-1", new Heartbeat("front-1/99", 0, 0, 0, 1, 0), Optional.empty()))
        .isEqualTo(EarlierOwnerState.OTHER_DAEMON);
  }
}
