package org.laburnumarch.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Keeps one connection to an address open and reconnects after a failure, with an exponential and
 * partly random back-off. Used on its event loop only.
 */
final class PeerLink implements PeerConnection.Listener {

  /** Opens a connection; {@link PeerConnection.Listener#onClosed} follows if that fails. */
  @FunctionalInterface
  interface Connector {
    /** Starts to connect without blocking. */
    void connect(PeerLink link, PeerConnection connection);
  }

  private final InetSocketAddress address;
  private final Optional<String> expectedMemberId;
  private final PeerEnvironment environment;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final Connector connector;
  private final PeerConnection.Listener listener;
  private final OutboundQueue queue;
  private Optional<PeerConnection> connection = Optional.empty();
  private boolean ready;
  private long readyAtMs;
  private boolean closed;
  private int failures;

  /** Creates a link that has not started to connect. */
  PeerLink(
      InetSocketAddress address,
      Optional<String> expectedMemberId,
      PeerEnvironment environment,
      EventLoop loop,
      UniformRandomProvider random,
      Connector connector,
      PeerConnection.Listener listener) {
    this.address = address;
    this.expectedMemberId = expectedMemberId;
    this.environment = environment;
    this.loop = loop;
    this.random = random;
    this.connector = connector;
    this.listener = listener;
    this.queue = environment.newQueue();
  }

  /** Returns the address that the link connects to. */
  InetSocketAddress address() {
    return address;
  }

  /** Returns whether the connection is authenticated, so that messages can be written. */
  boolean isReady() {
    return ready;
  }

  /** Starts to connect. */
  void connect() {
    if (closed) {
      return;
    }
    PeerConnection opening =
        environment.newConnection(
            new ConnectingHandshake(environment.self(), environment.secret(), expectedMemberId),
            queue,
            this);
    connection = Optional.of(opening);
    connector.connect(this, opening);
  }

  /** Queues a message's frame; it is written once the connection is authenticated. */
  void offer(byte[] frame) {
    connection.ifPresentOrElse(open -> open.offer(frame), () -> environment.enqueue(queue, frame));
  }

  /** Closes the connection and does not reconnect. */
  void close() {
    closed = true;
    connection.ifPresent(PeerConnection::close);
  }

  /** Closes a newly opened channel if the link was closed in the meantime. */
  void onChannelOpened(Channel channel) {
    if (closed) {
      ChannelFuture unused = channel.close();
    }
  }

  @Override
  public void onReady(PeerConnection opened, PeerIdentity peer) {
    ready = true;
    readyAtMs = environment.clock().nowMs();
    listener.onReady(opened, peer);
  }

  @Override
  public void onMessage(PeerIdentity peer, PeerMessage message) {
    listener.onMessage(peer, message);
  }

  @Override
  public void onClosed(PeerConnection lost, Optional<PeerIdentity> peer) {
    // A connection that ends soon after its handshake also counts as a failure.
    if (ready && environment.clock().nowMs() - readyAtMs >= environment.limits().maxBackOffMs()) {
      failures = 0;
    }
    ready = false;
    connection = Optional.empty();
    if (peer.isPresent()) {
      listener.onClosed(lost, peer);
    }
    if (!closed) {
      Future<?> unused = loop.schedule(this::connect, nextBackOffMs(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Half of the delay is random, so that the daemons do not all reconnect to a returned peer at the
   * same time.
   */
  private long nextBackOffMs() {
    PeerLimits limits = environment.limits();
    int doublings = Math.min(failures++, 16);
    long backOffMs = Math.min(limits.maxBackOffMs(), limits.minBackOffMs() << doublings);
    return backOffMs / 2 + random.nextLong(backOffMs / 2 + 1);
  }
}
