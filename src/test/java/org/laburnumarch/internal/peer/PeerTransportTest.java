package org.laburnumarch.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.peer.PeerMessage.RecordsRequest;
import org.laburnumarch.internal.peer.PeerMessage.Snapshot;
import org.laburnumarch.internal.time.MonotonicClock;

class PeerTransportTest {

  private static final PeerSecret SECRET = secret("a secret that both sides have");
  private static final PeerLimits LIMITS =
      new PeerLimits(500, 300, 4, 1 << 21, 2_000, 300, 10, 100);

  private static PeerSecret secret(String text) {
    return PeerSecret.of(text.getBytes(StandardCharsets.UTF_8));
  }

  private final List<AutoCloseable> resources = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable item : resources) {
      item.close();
    }
  }

  /** A daemon's transport and the messages that it received. */
  private final class Peer implements PeerListener {

    private final Queue<String> received = new ConcurrentLinkedQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final PeerTransport transport;

    Peer(String memberId, PeerSecret secret, PeerLimits limits, int port) {
      transport =
          PeerTransport.listen(
              new PeerIdentity(memberId, "instance-of-" + memberId),
              secret,
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              limits,
              this,
              metrics,
              MonotonicClock.system(),
              RandomSource.XO_RO_SHI_RO_128_PP.create(7));
      resources.add(transport);
    }

    Peer(String memberId) {
      this(memberId, SECRET, LIMITS, 0);
    }

    @Override
    public void onMessage(String memberId, PeerMessage message) {
      received.add(memberId + " " + message);
    }

    String address() {
      return "127.0.0.1:" + transport.address().getPort();
    }

    long count(String counter) {
      return metrics.counter(counter).getCount();
    }
  }

  private static void awaitDelivery(Peer from, String toMemberId, Peer to, long offset) {
    await()
        .until(
            () -> {
              from.transport.send(toMemberId, new RecordsRequest(offset));
              return to.received.stream().anyMatch(text -> text.contains("=" + offset + "]"));
            });
  }

  @Nested
  class WhenBothHaveTheSecret {

    /** Guards against messages that are not delivered or are attributed to another sender. */
    @Test
    void shouldDeliverInBothDirections() {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      a.transport.setMembers(Map.of("a", a.address(), "b", b.address()));
      b.transport.setMembers(Map.of("a", a.address(), "b", b.address()));
      awaitDelivery(a, "b", b, 11);
      awaitDelivery(b, "a", a, 12);
      assertThat(b.received).allMatch(text -> text.startsWith("a RecordsRequest"));
      assertThat(a.count("peer.sent.messages")).isPositive();
      assertThat(b.count("peer.received.bytes")).isPositive();
    }

    /**
     * Guards against a starting daemon that gets no response because it is not yet known as a
     * member.
     */
    @Test
    void shouldReplyOnTheConnectionOfAnUnknownProcess() {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      a.transport.setSeeds(List.of(b.address()));
      awaitDelivery(a, "b", b, 21);
      awaitDelivery(b, "a", a, 22);
    }

    /** Guards against a large message that is truncated or blocks the connection. */
    @Test
    void shouldDeliverTheLargestFrame() {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      a.transport.setMembers(Map.of("b", b.address()));
      byte[] state = new byte[PeerLimits.MAX_FRAME_BYTES - 20];
      a.transport.send("b", new Snapshot(1, state));
      await().until(() -> b.received.stream().anyMatch(text -> text.startsWith("a Snapshot")));
      assertThat(a.transport.send("b", new Snapshot(1, new byte[PeerLimits.MAX_FRAME_BYTES])))
          .isFalse();
    }

    /** Guards against a link that is not replaced when the peer's process is replaced. */
    @Test
    void shouldReconnectAfterThePeerReturned() {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      int port = b.transport.address().getPort();
      a.transport.setMembers(Map.of("b", b.address()));
      awaitDelivery(a, "b", b, 31);
      b.transport.close();
      await().until(() -> a.transport.connectedMembers().isEmpty());
      Peer returned = new Peer("b", SECRET, LIMITS, port);
      awaitDelivery(a, "b", returned, 32);
    }

    /** Guards against a new process that is mistaken for the member that had its address before. */
    @Test
    void shouldRefuseAnotherMemberAtTheAddress() {
      Peer a = new Peer("a");
      Peer c = new Peer("c");
      a.transport.setMembers(Map.of("b", c.address()));
      await().until(() -> a.count("peer.refused.handshakes") > 0);
      assertThat(a.transport.connectedMembers()).isEmpty();
    }
  }

  @Nested
  class WhenAddressesAreInvalid {

    /** Guards against one invalid address that prevents connections to all other members. */
    @Test
    void shouldIgnoreInvalidAddresses() {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      a.transport.setMembers(
          Map.of("b", b.address(), "c", "nowhere", "d", "localhost:1", "e", "127.0.0.1:70000"));
      awaitDelivery(a, "b", b, 51);
      assertThat(PeerAddress.parse("[::1]:7080")).isPresent();
    }

    /**
     * Guards against a daemon that keeps running although it cannot accept connections from peers.
     */
    @Test
    void shouldFailIfThePortIsInUse() {
      Peer a = new Peer("a");
      assertThatThrownBy(() -> new Peer("b", SECRET, LIMITS, a.transport.address().getPort()))
          .isInstanceOf(IllegalStateException.class)
          .hasMessageContaining("choose a free port");
    }
  }

  @Nested
  class WhenTheConnectionIsSilent {

    /** Guards against messages that are lost for minutes on a connection without any response. */
    @Test
    void shouldReplaceTheConnection() throws Exception {
      Peer a = new Peer("a");
      Peer b = new Peer("b");
      SilencingRelay relay = new SilencingRelay(b.transport.address());
      resources.add(relay);
      a.transport.setMembers(Map.of("b", relay.address()));
      awaitDelivery(a, "b", b, 41);
      relay.silenceExisting();
      awaitDelivery(a, "b", b, 42);
      assertThat(a.count("peer.silent.connections")).isPositive();
    }
  }

  @Nested
  class WhenThePeerIsHostile {

    /** Guards against messages accepted from a process without the fleet's secret. */
    @Test
    void shouldRefuseAnotherSecret() {
      Peer a = new Peer("a");
      Peer unauthorized = new Peer("x", secret("another secret altogether"), LIMITS, 0);
      unauthorized.transport.setMembers(Map.of("a", a.address()));
      a.transport.setMembers(Map.of("x", unauthorized.address()));
      await().until(() -> unauthorized.count("peer.refused.handshakes") > 0);
      await().until(() -> a.count("peer.refused.handshakes") > 0);
      a.transport.send("x", new RecordsRequest(1));
      assertThat(a.transport.connectedMembers()).isEmpty();
      assertThat(unauthorized.transport.connectedMembers()).isEmpty();
      assertThat(unauthorized.received).isEmpty();
    }

    /** Guards against a proof that its maker accepts when it is sent back in the other role. */
    @Test
    void shouldRefuseAReflectedProof() {
      AcceptingHandshake accepting = new AcceptingHandshake(new PeerIdentity("a", "i"), SECRET);
      byte[] nonce = new byte[Handshake.NONCE_BYTES];
      LinkFrame challenge =
          accepting
              .onFrame(new LinkFrame.Hello(new PeerIdentity("x", "i"), nonce))
              .get()
              .reply()
              .orElseThrow();
      byte[] reflected = ((LinkFrame.Challenge) challenge).proof();
      assertThat(accepting.onFrame(new LinkFrame.Proof(reflected)).isLeft()).isTrue();
    }

    /** Guards against a message that is accepted before the handshake. */
    @Test
    void shouldCloseOnAMessageBeforeTheHandshake() throws IOException {
      Peer a = new Peer("a");
      byte[] frame = PeerMessageCodec.encode(new RecordsRequest(1));
      assertClosedAfter(
          a, ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array());
      assertThat(a.count("peer.malformed.frames")).isEqualTo(1);
      assertThat(a.received).isEmpty();
    }

    /** Guards against memory allocated for a frame of which only the size was received. */
    @Test
    void shouldCloseOnAnOversizedFrame() throws IOException {
      Peer a = new Peer("a");
      assertClosedAfter(a, ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array());
      assertThat(a.count("peer.malformed.frames")).isEqualTo(1);
    }

    /** Guards against connections that stay open without authentication. */
    @Test
    void shouldCloseAHandshakeThatTakesTooLong() throws IOException {
      Peer a = new Peer("a");
      assertClosedAfter(a, new byte[0]);
      assertThat(a.count("peer.refused.handshakes")).isEqualTo(1);
    }

    /** Guards against an unlimited number of unauthenticated connections. */
    @Test
    void shouldBoundUnauthenticatedConnections() throws IOException {
      PeerLimits longHandshakeTimeout =
          new PeerLimits(500, 60_000, 4, 1 << 21, 2_000, 300, 10, 100);
      Peer a = new Peer("a", SECRET, longHandshakeTimeout, 0);
      for (int i = 0; i < 4; i++) {
        resources.add(
            new Socket(InetAddress.getLoopbackAddress(), a.transport.address().getPort()));
      }
      assertClosedAfter(a, new byte[0]);
      assertThat(a.count("peer.refused.handshakes")).isEqualTo(1);
    }

    private void assertClosedAfter(Peer peer, byte[] sent) throws IOException {
      try (Socket socket =
          new Socket(InetAddress.getLoopbackAddress(), peer.transport.address().getPort())) {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(sent);
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }
  }
}
