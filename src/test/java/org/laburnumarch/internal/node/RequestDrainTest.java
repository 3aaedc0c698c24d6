package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.ArgumentMatchers.any;
import static org.mockito.ArgumentMatchers.anyLong;
import static org.mockito.Mockito.doAnswer;
import static org.mockito.Mockito.mock;
import static org.mockito.Mockito.when;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServerContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopHttpServers;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests on real sockets which requests are answered when a daemon closes its connections. */
class RequestDrainTest {

  private static final long GRACE_MS = 6_000;
  private static final int TIMEOUT_MS = 20_000;
  private static final int NEW_CONNECTIONS = 40;
  private static final String END_OF_HEADERS = "\r\n\r\n";
  private static final String REQUEST = "GET /queue/00000000000000a1 HTTP/1.1\r\nHost: a\r\n\r\n";

  private final EventLoopThread loop = new EventLoopThread();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final JobRouter router = new JobRouter(loop, clock);
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private HttpServerContext callers;
  private RequestDrain drain;

  @BeforeEach
  void listen() throws Exception {
    callers =
        EventLoopHttpServers.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            loop,
            (context, request, responses) ->
                Single.fromStage(
                        router.call(CallKind.STATUS, "queue", "a", new byte[0], TIMEOUT_MS))
                    .map(reply -> responses.serviceUnavailable()));
    drain =
        new RequestDrain(
            loop, clock, router, callers::closeAsyncGracefully, () -> drained.complete(null));
    drain.start(clock.nowMs() + GRACE_MS);
  }

  @AfterEach
  void close() {
    callers.closeAsync().subscribe();
    loop.close();
  }

  private Socket connect() throws Exception {
    Socket socket = new Socket();
    socket.setSoTimeout(TIMEOUT_MS);
    socket.connect(callers.listenAddress());
    return socket;
  }

  private static void send(Socket socket, String text) throws Exception {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the response, which has no body; it is incomplete if the connection ends first. */
  private static String readResponse(Socket socket) throws Exception {
    StringBuilder response = new StringBuilder();
    int next = socket.getInputStream().read();
    while (next >= 0) {
      response.append((char) next);
      boolean isComplete = response.toString().endsWith(END_OF_HEADERS);
      next = isComplete ? -1 : socket.getInputStream().read();
    }
    return response.toString();
  }

  @Nested
  class WhenTheEventLoopIsLate {

    private final CountDownLatch delayed = new CountDownLatch(1);
    private final CountDownLatch arrived = new CountDownLatch(1);

    /** Closes the connections on an event loop that runs nothing else until requests arrive. */
    private void closeConnectionsAfterArrivals() throws Exception {
      loop.execute(
          () -> {
            delayed.countDown();
            try {
              arrived.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            drain.closeConnections();
          });
      delayed.await();
    }

    /** Guards against requests in the buffer of an open connection that are lost at the close. */
    @Test
    void shouldAnswerARequestOnAnOpenConnection() throws Exception {
      try (Socket caller = connect()) {
        send(caller, REQUEST);
        assertThat(readResponse(caller)).contains("503").endsWith(END_OF_HEADERS);
        closeConnectionsAfterArrivals();
        send(caller, REQUEST);
        arrived.countDown();
        assertThat(readResponse(caller)).contains("503").endsWith(END_OF_HEADERS);
      }
      drained.get(GRACE_MS, TimeUnit.MILLISECONDS);
    }

    /** Guards against connections that are reset before the daemon has accepted them. */
    @Test
    void shouldAnswerRequestsOnNewConnections() throws Exception {
      closeConnectionsAfterArrivals();
      List<Socket> connections = new ArrayList<>();
      try {
        for (int i = 0; i < NEW_CONNECTIONS; i++) {
          Socket caller = connect();
          connections.add(caller);
          send(caller, REQUEST);
        }
        arrived.countDown();
        for (Socket caller : connections) {
          assertThat(readResponse(caller)).contains("503").endsWith(END_OF_HEADERS);
        }
      } finally {
        for (Socket caller : connections) {
          caller.close();
        }
      }
      drained.get(GRACE_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Nested
  class WhenTheEventLoopStaysLate {

    private static final long TURN_MS = 150;
    private static final long CLOSED_WITHIN_MS = 1_200;

    /** Guards against a daemon that accepts connections until it is killed. */
    @Test
    void shouldCloseTheConnectionsBeforeTheGracePeriodEnds() {
      EventLoopThread lateLoop = mock(EventLoopThread.class);
      SuspendAwareClock lateClock = mock(SuspendAwareClock.class);
      Deque<Runnable> timers = new ArrayDeque<>();
      doAnswer(call -> timers.add(call.getArgument(1))).when(lateLoop).schedule(anyLong(), any());
      AtomicBoolean isClosed = new AtomicBoolean();
      new RequestDrain(
              lateLoop,
              lateClock,
              new JobRouter(lateLoop, lateClock),
              () -> {
                isClosed.set(true);
                return Completable.never();
              },
              () -> {})
          .closeConnections();
      for (long nowMs = TURN_MS; nowMs < CLOSED_WITHIN_MS && !isClosed.get(); nowMs += TURN_MS) {
        when(lateClock.nowMs()).thenReturn(nowMs);
        timers.remove().run();
      }
      assertThat(isClosed).isTrue();
    }
  }
}
