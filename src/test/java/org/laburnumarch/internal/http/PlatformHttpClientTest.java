package org.laburnumarch.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.servicetalk.http.api.HttpRequestMethod;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.spi.PlatformException;

/**
 * Tests that no call is reported as without effect whose request the server has read completely.
 */
class PlatformHttpClientTest {

  private static final long TIMEOUT_MS = 300;
  private static final byte[] SMALL = new byte[200];
  private static final byte[] LARGE = new byte[4_000_000];
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  /** What a server does on a connection after it has read a request completely. */
  private interface Handler {

    /** Returns whether the connection stays open. */
    boolean onRequest(Socket socket, int requestsRead) throws IOException;
  }

  /** Outcome of a call. */
  private enum Outcome {
    ANSWERED,
    WITHOUT_EFFECT,
    UNKNOWN_EFFECT
  }

  /** How a server ends connections. */
  private enum Ending {
    CLOSE,
    RESET;

    void apply(Socket socket) throws IOException {
      if (this == RESET) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
  }

  /** Reads requests and records the targets of those that were read completely. */
  private static final class RecordingServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final int readLimitBytes;
    private final Handler handler;
    private final Set<String> targetsRead = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final Thread acceptor = new Thread(this::acceptAll, "recording-server");

    /**
     * Starts a server.
     *
     * @param readLimitBytes number of bytes after which it resets a connection without having read
     *     the whole request; negative for no limit
     */
    RecordingServer(int readLimitBytes, Handler handler) throws IOException {
      this.readLimitBytes = readLimitBytes;
      this.handler = handler;
      acceptor.start();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void acceptAll() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          Thread thread = new Thread(() -> serve(socket), "recording-connection");
          synchronized (threads) {
            threads.add(thread);
            sockets.add(socket);
          }
          thread.start();
        } catch (IOException e) {
          // The server is closed.
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        if (readLimitBytes >= 0) {
          socket.getInputStream().readNBytes(readLimitBytes);
          Ending.RESET.apply(socket);
          return;
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean isOpen = true;
        for (int read = 1; isOpen; read++) {
          targetsRead.add(readRequest(in));
          isOpen = handler.onRequest(socket, read);
        }
      } catch (IOException e) {
        // The connection is closed.
      }
    }

    private static String readRequest(InputStream in) throws IOException {
      String requestLine = readLine(in);
      int length = 0;
      for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
        String lower = line.toLowerCase(Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring("content-length:".length()).trim());
        }
      }
      if (in.readNBytes(length).length < length) {
        throw new EOFException();
      }
      return requestLine.split(" ", -1)[1];
    }

    private static String readLine(InputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          throw new EOFException();
        }
        if (next != '\r') {
          line.append((char) next);
        }
      }
      return line.toString();
    }

    /** Returns the targets of the requests that were read completely, after all threads ended. */
    Set<String> awaitTargetsRead() throws Exception {
      server.close();
      acceptor.join();
      List<Thread> running;
      synchronized (threads) {
        running = List.copyOf(threads);
      }
      for (Thread thread : running) {
        thread.join(TimeUnit.SECONDS.toMillis(2));
      }
      return Set.copyOf(targetsRead);
    }

    @Override
    public void close() throws IOException {
      server.close();
      synchronized (threads) {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
    }
  }

  private final EventLoopThread loop = new EventLoopThread();
  private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
  private int calls;

  @AfterEach
  void closeLoop() {
    loop.close();
  }

  private static void answer(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Starts a call; the result completes with its outcome, which is also recorded. */
  private CompletableFuture<Outcome> start(PlatformHttpClient client, byte[] body) {
    return start(client, body, TIMEOUT_MS);
  }

  private CompletableFuture<Outcome> start(PlatformHttpClient client, byte[] body, long timeoutMs) {
    String target = "/" + calls++;
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    loop.execute(
        () ->
            client
                .call(HttpRequestMethod.POST, target, body, timeoutMs, Response::status)
                .whenComplete(
                    (status, failure) -> {
                      Outcome result = failure == null ? Outcome.ANSWERED : outcomeOf(failure);
                      outcomes.put(target, result);
                      outcome.complete(result);
                    }));
    return outcome;
  }

  private static Outcome outcomeOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return ((PlatformException) cause).mayHaveTakenEffect()
        ? Outcome.UNKNOWN_EFFECT
        : Outcome.WITHOUT_EFFECT;
  }

  private void assertNoReadRequestCountsAsWithoutEffect(RecordingServer server) throws Exception {
    Set<String> read = server.awaitTargetsRead();
    assertThat(read).noneMatch(target -> outcomes.get(target) == Outcome.WITHOUT_EFFECT);
  }

  @Nested
  class WhenTheServerEndsAConnection {

    private static final int REPETITIONS = 50;

    private void callRepeatedly(RecordingServer server, byte[] body) throws Exception {
      try (PlatformHttpClient client = new PlatformHttpClient(server.address(), loop)) {
        for (int i = 0; i < REPETITIONS; i++) {
          start(client, body).join();
        }
      }
      assertNoReadRequestCountsAsWithoutEffect(server);
    }

    @Test
    void shouldNotCountARequestAsUnsentThatWasReadBeforeAReset() throws Exception {
      for (int readBytes : new int[] {0, 1, 100}) {
        for (byte[] body : List.of(SMALL, LARGE)) {
          try (RecordingServer server = new RecordingServer(readBytes, (socket, read) -> false)) {
            callRepeatedly(server, body);
          }
        }
      }
    }

    @ParameterizedTest
    @EnumSource
    void shouldNotCountARequestAsUnsentThatWasReadAndNotAnswered(Ending ending) throws Exception {
      Handler handler =
          (socket, read) -> {
            ending.apply(socket);
            return false;
          };
      try (RecordingServer server = new RecordingServer(-1, handler)) {
        callRepeatedly(server, SMALL);
      }
      assertThat(outcomes.values()).containsOnly(Outcome.UNKNOWN_EFFECT);
    }

    @ParameterizedTest
    @EnumSource
    void shouldNotCountARequestAsUnsentWhoseAnswerIsCutOff(Ending ending) throws Exception {
      for (int length : new int[] {1, 20, ANSWER.length() - 1}) {
        Handler handler =
            (socket, read) -> {
              answer(socket, ANSWER.substring(0, length));
              ending.apply(socket);
              return false;
            };
        try (RecordingServer server = new RecordingServer(-1, handler)) {
          callRepeatedly(server, SMALL);
        }
      }
      assertThat(outcomes.values()).containsOnly(Outcome.UNKNOWN_EFFECT);
    }
  }

  @Nested
  class WhenACallGetsNoAnswer {

    private long connectedAt(PlatformHttpClient client) throws Exception {
      AtomicLong connectedAt = new AtomicLong(-1);
      loop.call(
              () ->
                  client
                      .call(
                          HttpRequestMethod.POST,
                          "/",
                          Map.of(),
                          SMALL,
                          TIMEOUT_MS,
                          connectedAt::set,
                          Response::status)
                      .handle((status, failure) -> status))
          .toCompletableFuture()
          .join();
      return connectedAt.get();
    }

    /** Guards against a call on a new connection that counts as one on an older connection. */
    @Test
    void shouldTellWhenItsConnectionWasMade() throws Exception {
      AtomicLong clock = new AtomicLong(1);
      Handler handler =
          (socket, read) -> {
            if (read == 1) {
              answer(socket, ANSWER);
            }
            return true;
          };
      try (RecordingServer server = new RecordingServer(-1, handler);
          PlatformHttpClient client = new PlatformHttpClient(server.address(), loop, clock::get)) {
        assertThat(connectedAt(client)).isEqualTo(1);
        clock.set(5);
        assertThat(connectedAt(client)).as("without an answer").isEqualTo(1);
        clock.set(9);
        assertThat(connectedAt(client)).as("on the next connection").isEqualTo(9);
      }
    }
  }

  @Nested
  class WhenTheServerClosesAnIdleConnection {

    private static final int REPETITIONS = 400;
    private static final long MAX_DELAY_NANOS = 300_000;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(42);

    private void waitShortly() {
      long delayNanos;
      synchronized (random) {
        delayNanos = random.nextLong(MAX_DELAY_NANOS);
      }
      LockSupport.parkNanos(delayNanos);
    }

    /** Sends requests while the server closes the connection that it has answered on before. */
    private void callWhileConnectionsEnd(Handler handler) throws Exception {
      try (RecordingServer server = new RecordingServer(-1, handler)) {
        try (PlatformHttpClient client = new PlatformHttpClient(server.address(), loop)) {
          for (int i = 0; i < REPETITIONS; i++) {
            start(client, SMALL).join();
            waitShortly();
          }
        }
        assertNoReadRequestCountsAsWithoutEffect(server);
      }
    }

    /** Ends the output only, so that a request which is on its way is still read. */
    @Test
    void shouldNotCountARequestAsUnsentThatIsReadAfterTheClose() throws Exception {
      callWhileConnectionsEnd(
          (socket, read) -> {
            if (read == 1) {
              answer(socket, ANSWER);
              waitShortly();
              socket.shutdownOutput();
            }
            return read == 1;
          });
    }

    @Test
    void shouldNotCountARequestAsUnsentThatIsReadBeforeAReset() throws Exception {
      callWhileConnectionsEnd(
          (socket, read) -> {
            if (read == 1) {
              answer(socket, ANSWER);
              return true;
            }
            waitShortly();
            Ending.RESET.apply(socket);
            return false;
          });
    }
  }

  @Nested
  class WhenNoConnectionIsMade {

    @Test
    void shouldCountACallAsWithoutEffect() throws Exception {
      InetSocketAddress closed;
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        closed = (InetSocketAddress) server.getLocalSocketAddress();
      }
      try (PlatformHttpClient client = new PlatformHttpClient(closed, loop)) {
        assertThat(start(client, SMALL).join()).isEqualTo(Outcome.WITHOUT_EFFECT);
      }
    }

    /** Guards against a request that is sent after its call has failed. */
    @Test
    void shouldNotSendARequestWhoseConnectTookTooLong() throws Exception {
      List<Socket> fillers = new ArrayList<>();
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        for (int i = 0; i < 4; i++) {
          Socket filler = new Socket();
          fillers.add(filler);
          CompletableFuture<Void> unused =
              CompletableFuture.runAsync(() -> connect(filler, server.getLocalSocketAddress()));
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        try (PlatformHttpClient client =
            new PlatformHttpClient((InetSocketAddress) server.getLocalSocketAddress(), loop)) {
          long timeoutMs = PlatformHttpClient.CONNECT_TIMEOUT_MS * 3;
          assertThat(start(client, SMALL, timeoutMs).join()).isEqualTo(Outcome.WITHOUT_EFFECT);
          assertThat(readFromAllConnections(server)).isZero();
        }
      } finally {
        for (Socket filler : fillers) {
          filler.close();
        }
      }
    }

    /**
     * Accepts connections until none comes any more; returns the number of bytes that they sent.
     */
    private int readFromAllConnections(ServerSocket server) throws IOException {
      server.setSoTimeout(1_500);
      int bytes = 0;
      while (true) {
        try (Socket accepted = server.accept()) {
          bytes += readShortly(accepted);
        } catch (SocketTimeoutException e) {
          return bytes;
        }
      }
    }

    private static int readShortly(Socket socket) throws IOException {
      socket.setSoTimeout(200);
      try {
        return Math.max(0, socket.getInputStream().read(new byte[10]));
      } catch (SocketTimeoutException e) {
        return 0;
      }
    }

    private static void connect(Socket socket, SocketAddress address) {
      try {
        socket.connect(address, 3_000);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  @Nested
  class WhenTheClientIsReplacedOrClosed {

    private static final int REPETITIONS = 20;
    private static final int PARALLEL = 12;

    /** Guards against calls that fail with those of another connection of the same client. */
    @Test
    void shouldNotCountARequestAsUnsentBesideOneThatFails() throws Exception {
      Handler handler =
          (socket, read) -> {
            if (read % 3 == 2) {
              return false;
            }
            answer(socket, ANSWER);
            return true;
          };
      try (RecordingServer server = new RecordingServer(-1, handler)) {
        try (PlatformHttpClient client = new PlatformHttpClient(server.address(), loop)) {
          for (int i = 0; i < REPETITIONS; i++) {
            List<CompletableFuture<Outcome>> started = new ArrayList<>();
            for (int j = 0; j < PARALLEL; j++) {
              started.add(start(client, SMALL));
            }
            started.forEach(CompletableFuture::join);
          }
        }
        assertNoReadRequestCountsAsWithoutEffect(server);
      }
    }

    @Test
    void shouldNotCountARequestAsUnsentThatWasReadBeforeTheClose() throws Exception {
      Semaphore requestsRead = new Semaphore(0);
      Handler handler =
          (socket, read) -> {
            requestsRead.release();
            return true;
          };
      try (RecordingServer server = new RecordingServer(-1, handler)) {
        for (int i = 0; i < REPETITIONS; i++) {
          PlatformHttpClient client = new PlatformHttpClient(server.address(), loop);
          List<CompletableFuture<Outcome>> started = new ArrayList<>();
          for (int j = 0; j < PARALLEL; j++) {
            started.add(start(client, SMALL));
          }
          requestsRead.acquire(1 + i % PARALLEL);
          loop.execute(client::close);
          started.forEach(CompletableFuture::join);
          requestsRead.drainPermits();
        }
        assertNoReadRequestCountsAsWithoutEffect(server);
      }
    }
  }

  @Nested
  class WhenTheEventLoopIsBusy {

    /** Guards against taking for silence what this process has kept waiting itself. */
    @Test
    void shouldStillSendTheRequestAndReadTheResponse() throws Exception {
      Handler handler =
          (socket, read) -> {
            answer(socket, ANSWER);
            return true;
          };
      try (RecordingServer server = new RecordingServer(-1, handler);
          PlatformHttpClient client = new PlatformHttpClient(server.address(), loop)) {
        CompletableFuture<Outcome> outcome = start(client, SMALL);
        loop.execute(() -> occupyFor(2 * TIMEOUT_MS));
        assertThat(outcome.get(20, TimeUnit.SECONDS)).isEqualTo(Outcome.ANSWERED);
      }
    }

    private void occupyFor(long durationMs) {
      long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
      while (System.nanoTime() < endNs) {
        Thread.onSpinWait();
      }
    }
  }
}
