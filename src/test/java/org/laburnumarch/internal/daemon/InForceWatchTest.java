package org.laburnumarch.internal.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.laburnumarch.internal.state.ControlLogFixture;
import org.laburnumarch.internal.state.RecordBody;

/**
 * Guards against a change that is reported as accepted although a majority of the daemons could
 * keep working without it if the log becomes unreachable.
 */
class InForceWatchTest {
  private final InForceWatch watch = new InForceWatch();
  private final Map<String, ReceivedReport> reports = new HashMap<>();
  private ControlLogFixture fixture;
  private long offset;
  private CompletableFuture<Boolean> result;

  @BeforeEach
  void appendChange() {
    fixture = ControlLogFixture.withFleet();
    fixture.joinCounting("m1", "m2", "m3");
    offset = fixture.accept(new RecordBody.DataCentreTakenOut("north"));
    result = watch.await(offset, 5_000).toCompletableFuture();
  }

  private void report(String member, long nextOffset) {
    reports.put(member, new ReceivedReport(new Report(nextOffset, 0, List.of(), List.of()), 0));
  }

  private void tick(long nowMs) {
    watch.tick(fixture.state(), "m1", reports, nowMs);
  }

  @Nested
  class WhenAMajorityHasAppliedIt {

    @Test
    void shouldReportTheChangeInForce() {
      report("m2", offset + 1);
      tick(100);
      assertThat(result).isCompletedWithValue(true);
    }

    @Test
    void shouldCountAcknowledgementsInTheLog() {
      fixture.acknowledge("m3");
      tick(100);
      assertThat(result).isCompletedWithValue(true);
    }
  }

  @Nested
  class WhenOnlyAMinorityHasAppliedIt {

    @Test
    void shouldKeepWaiting() {
      report("m2", offset);
      tick(100);
      assertThat(result).isNotDone();
      assertThat(watch.awaitedOffset()).hasValue(offset);
    }

    @Test
    void shouldReportAtTheDeadlineThatItIsNotInForce() {
      tick(5_000);
      assertThat(result).isCompletedWithValue(false);
      assertThat(watch.awaitedOffset()).isEmpty();
    }

    @Test
    void shouldIgnoreMembersThatAreNotCounting() {
      fixture.join("m4");
      report("m4", offset + 2);
      tick(100);
      assertThat(result).isNotDone();
    }
  }
}
