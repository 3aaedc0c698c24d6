package org.laburnumarch.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;
import static org.laburnumarch.internal.entry.EntryFixture.result;

import io.vavr.collection.TreeMap;
import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.KeyEntry;

class EntryServerTest {

  @Nested
  class Forwarding {

    /** Guards against losing parts of a request or forwarding the caller's secret to a minion. */
    @Test
    void shouldForwardTheWholeRequestWithoutKeyAndHopByHopHeaders() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        HttpResponse<String> response =
            fixture.send(
                fixture
                    .request("/shop/a/b?x=1")
                    .header("X-Kept", "yes")
                    .header("TE", "trailers")
                    .POST(BodyPublishers.ofString("body"))
                    .build());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("hello");
        MinionStub.Received received = minion.received().get(0);
        assertThat(received.line()).isEqualTo("POST /a/b?x=1 HTTP/1.1");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.headers())
            .containsEntry("x-kept", "yes")
            .containsKeys("request-deadline-epoch-ms", "host")
            .doesNotContainKeys("authorization", "te");
      }
    }

    /** Guards against bodies that are lost or framed twice when the minion sends chunks. */
    @Test
    void shouldForwardAChunkedResponse() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) ->
              out.write(
                  MinionStub.raw(
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        assertThat(fixture.get("/shop/").body()).isEqualTo("abc");
      }
    }

    /**
     * Guards against waiting for a body, which responses to HEAD and with status 204 never have.
     */
    @Test
    void shouldForwardResponsesWithoutBody() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) ->
              out.write(
                  MinionStub.raw(
                      request.line().startsWith("HEAD")
                          ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
                          : "HTTP/1.1 204 No Content\r\n\r\n"));
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        assertThat(fixture.send("HEAD", "/shop/", "").join().headers().firstValue("content-length"))
            .contains("7");
        assertThat(fixture.get("/shop/").statusCode()).isEqualTo(204);
        assertThat(minion.connectionCount()).isEqualTo(1);
      }
    }
  }

  @Nested
  class InvalidResponses {

    /** Guards against forwarding a truncated response as a complete one (invariant 6). */
    @Test
    void shouldReportAResponseShorterThanItsContentLength() throws Exception {
      assertIncomplete("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }

    /** Guards against taking a lost connection for the end of a chunked response. */
    @Test
    void shouldReportAChunkedResponseWithoutLastChunk() throws Exception {
      assertIncomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    }

    /** Guards against taking a lost connection for the end of a response without length. */
    @Test
    void shouldReportAResponseWithoutLength() throws Exception {
      assertIncomplete("HTTP/1.1 200 OK\r\n\r\nabc");
    }

    private void assertIncomplete(String rawResponse) throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            out.write(MinionStub.raw(rawResponse));
            socket.close();
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        HttpResponse<String> response = fixture.send("POST", "/shop/", "x").join();
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(result(response)).isEqualTo("1404");
        assertThat(response.body()).contains("\"outcome\":\"UNKNOWN\"").doesNotContain("abc");
        assertThat(minion.received()).hasSize(1);
      }
    }

    /** Guards against unbounded memory for a minion's response. */
    @Test
    void shouldReportAResponseThatIsTooLarge() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) ->
              out.write(MinionStub.raw("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\nabc"));
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        assertThat(result(fixture.send("POST", "/shop/", "x").join())).isEqualTo("1406");
        await().until(() -> minion.isClosedByPeer(1));
      }
    }

    /** Guards against unbounded memory for a minion's response headers. */
    @Test
    void shouldReportAHeadThatIsTooLarge() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) ->
              out.write(
                  MinionStub.raw(
                      "HTTP/1.1 200 OK\r\nX: "
                          + "y".repeat(100_000)
                          + "\r\nContent-Length: 0\r\n"));
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        assertThat(result(fixture.send("POST", "/shop/", "x").join())).isEqualTo("1403");
      }
    }
  }

  @Nested
  class LostConnections {

    /** Guards against running a request twice or reporting it as not run (invariants 7, 8). */
    @Test
    void shouldSendANonIdempotentRequestOnce() throws Exception {
      MinionStub.ResponseScript script = (request, out, socket) -> socket.close();
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        HttpResponse<String> response = fixture.send("POST", "/shop/", "x").join();
        assertThat(result(response)).isEqualTo("1403");
        assertThat(response.headers().firstValue("Retry-After")).isEmpty();
        assertThat(minion.received()).hasSize(1);
      }
    }

    /** Guards against failing an idempotent request at the first lost connection. */
    @Test
    void shouldRetryAnIdempotentRequestAtAnotherMinion() throws Exception {
      MinionStub.ResponseScript closing = (request, out, socket) -> socket.close();
      try (MinionStub bad = new MinionStub(closing);
          MinionStub good = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(bad.address(), good.address())) {
        for (int i = 0; i < 4; i++) {
          assertThat(fixture.get("/shop/").body()).isEqualTo("hello");
        }
        assertThat(bad.received()).isNotEmpty();
      }
    }

    /** Guards against a caller that waits until its deadline on a lost connection. */
    @Test
    void shouldRetryAnIdempotentRequestThatGetsNoResponse() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            if (request.connection() == 1) {
              new CountDownLatch(1).await();
            }
            out.write(MinionStub.ok("hello"));
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        CompletableFuture<HttpResponse<String>> response = fixture.send("GET", "/shop/", "");
        await().until(() -> minion.received().size() == 1);
        fixture.advance(4_000);
        assertThat(response.join().body()).isEqualTo("hello");
        assertThat(minion.connectionCount()).isEqualTo(2);
      }
    }

    /** Guards against a long wait on an old connection that was lost while new ones work. */
    @Test
    void shouldTimeOutEarlyOnAnOldConnection() throws Exception {
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            if (request.connection() == 1 && request.indexOnConnection() == 2) {
              new CountDownLatch(1).await();
            }
            out.write(MinionStub.ok("hello"));
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.get("/shop/");
        fixture.advance(5_000);
        CompletableFuture<HttpResponse<String>> response = fixture.send("GET", "/shop/", "");
        await().until(() -> minion.received().size() == 2);
        fixture.advance(500);
        assertThat(response.get(5, TimeUnit.SECONDS).body()).isEqualTo("hello");
        assertThat(minion.received().get(2).connection()).isEqualTo(2);
      }
    }

    /** Guards against a late response that is given to another request. */
    @Test
    void shouldNotReuseAConnectionAfterATimeout() throws Exception {
      CountDownLatch late = new CountDownLatch(1);
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            if (request.connection() == 1) {
              late.await();
              out.write(MinionStub.ok("late"));
            } else {
              out.write(MinionStub.ok("own"));
            }
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        CompletableFuture<HttpResponse<String>> first = fixture.send("POST", "/shop/", "x");
        await().until(() -> minion.received().size() == 1);
        fixture.advance(10_000);
        assertThat(result(first.join())).isEqualTo("1403");
        late.countDown();
        assertThat(fixture.send("POST", "/shop/", "y").join().body()).isEqualTo("own");
        assertThat(minion.received().get(1).connection()).isEqualTo(2);
      }
    }

    /** Guards against writing a non-idempotent request on a connection that may be lost. */
    @Test
    void shouldNotSendANonIdempotentRequestOnAnOldConnection() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.get("/shop/");
        fixture.advance(1_000);
        fixture.send("POST", "/shop/", "fresh").join();
        assertThat(minion.received().get(1).connection()).isEqualTo(1);
        fixture.advance(1_001);
        fixture.send("POST", "/shop/", "old").join();
        assertThat(minion.received().get(2).connection()).isEqualTo(2);
        fixture.advance(5_000);
        fixture.get("/shop/");
        assertThat(minion.received().get(3).connection()).isLessThan(3);
      }
    }

    /** Guards against reporting a request as not run that was sent and then queued for a retry. */
    @Test
    void shouldReportASentRequestAsUnknownWhenItsRetryIsRefused() throws Exception {
      AtomicReference<EntryFixture> fixture = new AtomicReference<>();
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            fixture.get().gate.authority =
                Optional.of(Refusal.retryable(ResultCode.NO_AUTHORITY, "cut off", 1_000));
            socket.close();
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture opened = new EntryFixture(minion.address())) {
        fixture.set(opened);
        HttpResponse<String> response = opened.get("/shop/");
        assertThat(result(response)).isEqualTo("1403");
        assertThat(response.body()).contains("\"outcome\":\"UNKNOWN\"");
      }
    }

    /** Guards against reusing a unit while the request that held it may still run. */
    @Test
    void shouldHoldTheUnitOfARequestWithoutResponseUntilItsDeadline() throws Exception {
      MinionStub.ResponseScript script = (request, out, socket) -> socket.close();
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.send("POST", "/shop/", "x").join();
        fixture.advance(9_999);
        assertThat(fixture.gate.units).hasValue(99);
        fixture.advance(1);
        assertThat(fixture.gate.units).hasValue(100);
      }
    }
  }

  @Nested
  class Minions {

    /** Guards against new requests for a minion that announces that it is leaving (invariant 9). */
    @Test
    void shouldSendNoMoreRequestsToALeavingMinion() throws Exception {
      MinionStub.ResponseScript leaving =
          (request, out, socket) ->
              out.write(
                  MinionStub.raw("HTTP/1.1 200 OK\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n"));
      try (MinionStub minion = new MinionStub(leaving);
          MinionStub other = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address(), other.address())) {
        for (int i = 0; i < 6; i++) {
          assertThat(fixture.get("/shop/").statusCode()).isEqualTo(200);
        }
        assertThat(minion.received()).hasSize(1);
      }
    }

    /** Guards against requests for a data centre that is out of service (invariant 5). */
    @Test
    void shouldSendNoRequestsToADataCentreOutOfService() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.state = EntryFixture.withDataCentreOut(fixture.state, "dc1");
        HttpResponse<String> response = fixture.get("/shop/");
        assertThat(result(response)).isEqualTo("1402");
        assertThat(response.headers().firstValue("Retry-After")).contains("1");
        assertThat(minion.received()).isEmpty();
      }
    }

    /** Guards against more connections to a minion than this seat may have. */
    @Test
    void shouldNotExceedTheConnectionsOfItsSeat() throws Exception {
      CountDownLatch mayRespond = new CountDownLatch(1);
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            mayRespond.await();
            out.write(MinionStub.ok("hello"));
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        var responses =
            java.util.stream.IntStream.range(0, 8)
                .mapToObj(i -> fixture.send("POST", "/shop/", "x"))
                .toList();
        await().until(() -> minion.received().size() == 2);
        await().until(() -> fixture.entry.demand().get(0).queued() == 6);
        mayRespond.countDown();
        responses.forEach(response -> assertThat(response.join().body()).isEqualTo("hello"));
        assertThat(minion.connectionCount()).isEqualTo(2);
      }
    }
  }

  @Nested
  class Access {

    /** Guards against running requests without a valid key (invariant 3). */
    @Test
    void shouldRefuseRequestsWithoutAValidKey() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        var wrong = fixture.request("/shop/").setHeader("Authorization", "Bearer lab_k1_wrong");
        assertThat(result(fixture.send(wrong.build()))).isEqualTo("1202");
        var none = fixture.request("/shop/").setHeader("Authorization", "Basic x");
        assertThat(result(fixture.send(none.build()))).isEqualTo("1201");
        var open = fixture.request("/public/").setHeader("Authorization", "Basic x");
        assertThat(fixture.send(open.build()).body()).isEqualTo("hello");
        assertThat(minion.received()).hasSize(1);
      }
    }

    /** Guards against a queued request that runs after its key was revoked (invariant 3). */
    @Test
    void shouldCheckTheKeyAgainAtDispatch() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.gate.units.set(0);
        CompletableFuture<HttpResponse<String>> response = fixture.send("GET", "/shop/", "");
        await().until(() -> fixture.entry.demand().stream().anyMatch(d -> d.queued() == 1));
        KeyEntry revoked = new KeyEntry("k1", "a", KeyCheck.digestOf("s3cret"), 0, true);
        fixture.state = EntryFixture.withKeys(fixture.state, TreeMap.of("k1", revoked));
        fixture.gate.units.set(1);
        fixture.entry.dispatchQueued();
        assertThat(result(response.join())).isEqualTo("1203");
        assertThat(minion.received()).isEmpty();
        assertThat(fixture.gate.units).hasValue(1);
      }
    }

    /** Guards against dispatching without authority. */
    @Test
    void shouldRefuseRequestsWithoutAuthority() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.gate.authority =
            Optional.of(Refusal.retryable(ResultCode.NO_AUTHORITY, "cut off", 1_000));
        assertThat(result(fixture.get("/shop/"))).isEqualTo("1502");
        assertThat(fixture.get("/-/ready").statusCode()).isEqualTo(503);
        assertThat(fixture.get("/-/healthz").statusCode()).isEqualTo(200);
      }
    }
  }

  @Nested
  class Bounds {

    /** Guards against unbounded memory for a caller's body. */
    @Test
    void shouldRefuseABodyThatIsTooLarge() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        String body = "x".repeat(EntrySettings.MAX_BODY_BYTES);
        assertThat(fixture.send("POST", "/shop/", body).join().body()).isEqualTo("hello");
        var chunked =
            fixture
                .request("/shop/")
                .POST(
                    BodyPublishers.ofInputStream(
                        () -> new ByteArrayInputStream(new byte[2 << 20])));
        assertThat(result(fixture.send(chunked.build()))).isEqualTo("1305");
        assertThat(minion.received()).hasSize(1);
      }
    }

    /** Guards against deadlines later than the maximum that the fleet relies on. */
    @Test
    void shouldRefuseADeadlineOutOfRange() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        var late = fixture.request("/shop/").header("Request-Timeout-Ms", "30001");
        assertThat(result(fixture.send(late.build()))).isEqualTo("1304");
      }
    }
  }

  @Nested
  class DrainingAndEndpoints {

    /** Guards against losing in-flight requests and accepting new ones while shutting down. */
    @Test
    void shouldFinishInFlightRequestsWhileDraining() throws Exception {
      CountDownLatch mayRespond = new CountDownLatch(1);
      MinionStub.ResponseScript script =
          (request, out, socket) -> {
            mayRespond.await();
            out.write(MinionStub.ok("hello"));
          };
      try (MinionStub minion = new MinionStub(script);
          EntryFixture fixture = new EntryFixture(minion.address())) {
        CompletableFuture<HttpResponse<String>> response = fixture.send("POST", "/shop/", "x");
        await().until(() -> minion.received().size() == 1);
        fixture.entry.beginDrain();
        var drained = fixture.entry.awaitDrained(fixture.nowMs.get() + 30_000);
        assertThat(result(fixture.get("/shop/"))).isEqualTo("1505");
        fixture.advance(20);
        assertThat(drained.toCompletableFuture()).isNotDone();
        mayRespond.countDown();
        assertThat(response.join().body()).isEqualTo("hello");
        fixture.advance(20);
        assertThat(drained.toCompletableFuture().join()).isTrue();
      }
    }

    /** Guards against metrics without unit and missing operator endpoints. */
    @Test
    void shouldServeMetricsAndOperatorEndpoints() throws Exception {
      try (MinionStub minion = new MinionStub(MinionStub.respondHello());
          EntryFixture fixture = new EntryFixture(minion.address())) {
        fixture.get("/shop/");
        assertThat(fixture.get("/-/metrics").body())
            .contains("# HELP laburnumarch_entry_request_seconds Unit: seconds.")
            .contains("laburnumarch_entry_answers_requests_total{code=\"OK\"} 1\n");
        assertThat(fixture.send("PUT", "/-/operator/text?x=1", "z").join().body())
            .isEqualTo("PUT /-/operator/text?x=1");
        assertThat(fixture.get("/-/ready").statusCode()).isEqualTo(200);
      }
    }
  }
}
