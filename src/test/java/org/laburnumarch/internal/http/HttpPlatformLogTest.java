package org.laburnumarch.internal.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.emulator.LogStandIn;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.PlatformException;

class HttpPlatformLogTest {

  private static final int RETAINED_RECORDS = 3;
  private static final long RETAINED_MS = 60_000;

  private final AtomicLong epochMs = new AtomicLong(1_000);
  private LogStandIn standIn;
  private HttpPlatformLog log;

  @BeforeEach
  void start() throws Exception {
    standIn =
        LogStandIn.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            RETAINED_RECORDS,
            RETAINED_MS,
            epochMs::get);
    log = new HttpPlatformLog(standIn.address(), "control");
  }

  @AfterEach
  void stop() {
    log.close();
    standIn.close();
  }

  private void control(String json) {
    try (PlatformHttpClient operator = new PlatformHttpClient(standIn.address())) {
      CompletionStage<Integer> status =
          operator.call(
              HttpRequestMethod.POST,
              "/control",
              json.getBytes(StandardCharsets.UTF_8),
              2_000,
              PlatformHttpClient.Response::status);
      assertThat(status.toCompletableFuture().join()).isEqualTo(200);
    }
  }

  private long append(String data) {
    return log.append(data.getBytes(StandardCharsets.UTF_8)).toCompletableFuture().join();
  }

  private LogPage read(long fromOffset, long waitMs) {
    return log.read(fromOffset, 10, waitMs).toCompletableFuture().join();
  }

  private static PlatformException failureOf(CompletionStage<?> stage) {
    return (PlatformException)
        catchThrowableOfType(CompletionException.class, () -> stage.toCompletableFuture().join())
            .getCause();
  }

  @Nested
  class WhenTheLogIsAvailable {

    /** Guards against records that are altered or reordered. */
    @Test
    void shouldReadWhatWasAppended() {
      assertThat(append("one")).isZero();
      assertThat(append("two")).isEqualTo(1);
      LogPage page = read(0, 0);
      assertThat(page.tailOffset()).isEqualTo(2);
      assertThat(page.records())
          .extracting(stored -> new String(stored.data(), StandardCharsets.UTF_8))
          .containsExactly("one", "two");
      assertThat(page.records().get(0).appendedAtEpochMs()).isEqualTo(1_000);
    }

    /** Guards against appended records that are delivered only when a long poll times out. */
    @Test
    void shouldCompleteAWaitingReadAtTheNextAppend() {
      CompletableFuture<LogPage> waiting = log.read(0, 10, 20_000).toCompletableFuture();
      append("one");
      assertThat(waiting.join().records()).hasSize(1);
    }

    /** Guards against a long poll without new records that counts as a failure. */
    @Test
    void shouldCompleteAWaitingReadWithoutNewRecords() {
      LogPage page = read(0, 50);
      assertThat(page.records()).isEmpty();
      assertThat(page.tailOffset()).isZero();
    }

    /** Guards against a reader that silently skips records that are no longer retained. */
    @Test
    void shouldReturnTheFirstRetainedOffset() {
      for (int i = 0; i < 5; i++) {
        append("record " + i);
      }
      LogPage page = read(0, 0);
      assertThat(page.records()).isEmpty();
      assertThat(page.firstRetainedOffset()).isEqualTo(2);
      assertThat(page.tailOffset()).isEqualTo(5);
      epochMs.addAndGet(RETAINED_MS + 1);
      assertThat(read(5, 0).firstRetainedOffset()).isEqualTo(5);
    }
  }

  @Nested
  class WhenTheLogFails {

    /** Guards against a lost response that is reported as "not appended". */
    @Test
    void shouldReportAnUnknownEffectWhenTheResponseIsLost() {
      control("{\"loseAnswers\":1}");
      PlatformException failure = failureOf(log.append(new byte[] {1}));
      assertThat(failure.mayHaveTakenEffect()).isTrue();
      assertThat(read(0, 0).records()).hasSize(1);
      assertThat(append("after")).isEqualTo(1);
    }

    /** Guards against an effect that is reported as unknown although the log refused the append. */
    @Test
    void shouldReportNoEffectDuringAnOutage() {
      control("{\"outage\":\"unavailable\"}");
      assertThat(failureOf(log.append(new byte[] {1})).mayHaveTakenEffect()).isFalse();
      assertThat(failureOf(log.read(0, 10, 0)).mayHaveTakenEffect()).isFalse();
      control("{\"outage\":\"none\"}");
      assertThat(append("after")).isZero();
    }

    /** Guards against a failed connect after which the effect is reported as unknown. */
    @Test
    void shouldReportNoEffectWithoutAConnection() throws Exception {
      InetSocketAddress closedPort;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        closedPort = (InetSocketAddress) socket.getLocalSocketAddress();
      }
      try (HttpPlatformLog unreachable = new HttpPlatformLog(closedPort, "control")) {
        for (int i = 0; i < 8; i++) {
          assertThat(failureOf(unreachable.append(new byte[] {1})).mayHaveTakenEffect()).isFalse();
        }
      }
    }

    /**
     * Guards against a request that counts as not sent although the connection ended afterwards.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"offset\":1}"})
    void shouldReportAnUnknownEffectWhenTheConnectionEnds(String response) throws Exception {
      for (boolean isResetting : new boolean[] {false, true}) {
        try (RawServer server = new RawServer(response, isResetting);
            HttpPlatformLog broken = new HttpPlatformLog(server.address(), "control")) {
          for (int i = 0; i < 10; i++) {
            PlatformException failure = failureOf(broken.append(new byte[10_000]));
            assertThat(failure.mayHaveTakenEffect()).as("%s", failure).isTrue();
          }
        }
      }
    }

    /** Guards against a malformed successful response from which an offset is read. */
    @Test
    void shouldReportAnUnknownEffectWhenTheResponseCannotBeParsed() throws Exception {
      String response = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"offset\":1.5}";
      try (RawServer server = new RawServer(response, false);
          HttpPlatformLog broken = new HttpPlatformLog(server.address(), "control")) {
        assertThat(failureOf(broken.append(new byte[1])).mayHaveTakenEffect()).isTrue();
      }
    }

    /** Guards against a connection that no longer responds and stays in use. */
    @Test
    void shouldReplaceASilentConnection() {
      append("one");
      assertThat(read(0, 0).records()).hasSize(1);
      control("{\"silenceExisting\":true}");
      CompletionStage<Long> append = log.append(new byte[] {1});
      CompletionStage<LogPage> read = log.read(0, 10, 0);
      assertThat(failureOf(append).mayHaveTakenEffect()).isTrue();
      assertThat(failureOf(read).mayHaveTakenEffect()).isTrue();
      assertThat(append("after")).isEqualTo(1);
      assertThat(read(0, 0).records()).hasSize(2);
    }

    /** Guards against repeated timeouts when all connections stop responding at once. */
    @Test
    void shouldReplaceAllConnectionsAfterATimeout() {
      control("{\"slowMs\":200}");
      CompletionStage<Long> first = log.append(new byte[] {1});
      CompletionStage<Long> second = log.append(new byte[] {2});
      first.toCompletableFuture().join();
      second.toCompletableFuture().join();
      control("{\"slowMs\":0,\"silenceExisting\":true}");
      assertThat(failureOf(log.append(new byte[] {3})).mayHaveTakenEffect()).isTrue();
      assertThat(append("after")).isEqualTo(2);
    }

    /**
     * Guards against a backoff of seconds after failed connects, in which a daemon loses authority.
     */
    @Test
    void shouldReachTheLogAtOnceAfterAnOutage() throws Exception {
      InetSocketAddress address = standIn.address();
      standIn.close();
      for (int i = 0; i < 10; i++) {
        failureOf(log.append(new byte[] {1}));
      }
      standIn = LogStandIn.start(address, RETAINED_RECORDS, RETAINED_MS, epochMs::get);
      assertThat(append("after")).isZero();
    }

    /** Guards against waiting for a slow log beyond the deadline. */
    @Test
    void shouldTimeOutOnASlowLog() {
      control("{\"slowMs\":20000}");
      assertThat(failureOf(log.append(new byte[] {1})).mayHaveTakenEffect()).isTrue();
    }
  }
}
