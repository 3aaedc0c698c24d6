package org.laburnumarch.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.ReportFailure;
import org.laburnumarch.spi.PlatformException;

/** Tests what failed calls tell about the process that was called. */
class PlatformFailuresTest {

  @Nested
  class TheWorkersProcess {

    private Throwable callThatFailedWith(Throwable cause) {
      return new CompletionException(PlatformException.withoutEffect("call failed", cause));
    }

    @Test
    void shouldCountAsReplacedIfAnotherProcessAnswers() {
      Throwable other = new WorkerRefusalException(Outcome.OTHER_INCARNATION);
      assertThat(PlatformFailures.reportFailure(new CompletionException(other)))
          .isEqualTo(ReportFailure.OTHER_PROCESS);
    }

    /** Guards against taking a worker behind a cut that refuses connections for an ended one. */
    @Test
    void shouldNotCountAsReplacedIfItsAddressRefusesConnections() {
      ConnectException refused = new ConnectException("finishConnect(..): Connection refused");
      assertThat(PlatformFailures.reportFailure(callThatFailedWith(refused)))
          .isEqualTo(ReportFailure.CONNECTION_REFUSED);
    }

    /** Guards against taking workers behind a silent cut for ended ones. */
    @Test
    void shouldNotCountAsReplacedWithoutAnAnswer() {
      Throwable timeout = new ConnectTimeoutException("connection timed out");
      assertThat(PlatformFailures.reportFailure(callThatFailedWith(timeout)))
          .isEqualTo(ReportFailure.NO_ANSWER);
      Throwable fenced = new WorkerRefusalException(Outcome.FENCED);
      assertThat(PlatformFailures.reportFailure(new CompletionException(fenced)))
          .isEqualTo(ReportFailure.NO_ANSWER);
    }
  }
}
