package org.laburnumarch.internal.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.internal.time.MonotonicClock;
import org.tinylog.Logger;

/**
 * Sends and receives messages between daemons over TCP.
 *
 * <p>Each daemon keeps one connection to each other member and sends on it. If it has none to a
 * member, it sends on the connection that the member opened. Messages may be lost, so senders
 * repeat them until they have taken effect. One thread does all the work.
 */
public final class PeerTransport implements AutoCloseable {

  private static final long CLOSE_TIMEOUT_MS = 2_000;

  private final NioEventLoopGroup group;
  private final EventLoop loop;
  private final PeerEnvironment environment;
  private final PeerTable table;
  private final Channel server;

  private PeerTransport(
      PeerEnvironment environment,
      InetSocketAddress bindAddress,
      PeerListener listener,
      UniformRandomProvider random) {
    this.environment = environment;
    this.group = new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true));
    this.loop = group.next();
    this.table = new PeerTable(environment, loop, random, this::connect, listener);
    this.server = bind(bindAddress);
  }

  /**
   * Starts to listen.
   *
   * @param self this daemon
   * @param secret the fleet's secret
   * @param bindAddress where to listen; port 0 picks a free one
   * @param limits bounds on sizes and times, usually {@link PeerLimits#DEFAULTS}
   * @param listener receives messages and connection events
   * @param metrics the registry for the counters
   * @param clock the daemon's clock
   * @param random varies the delays before reconnecting; used by the transport's thread only
   * @throws IllegalStateException if the address cannot be bound
   */
  public static PeerTransport listen(
      PeerIdentity self,
      PeerSecret secret,
      InetSocketAddress bindAddress,
      PeerLimits limits,
      PeerListener listener,
      MetricRegistry metrics,
      MonotonicClock clock,
      UniformRandomProvider random) {
    PeerEnvironment environment =
        new PeerEnvironment(self, secret, limits, new PeerMetrics(metrics), clock);
    return new PeerTransport(environment, bindAddress, listener, random);
  }

  private Channel bind(InetSocketAddress bindAddress) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    table.accept(channel);
                  }
                })
            .bind(bindAddress);
    if (!bound.awaitUninterruptibly().isSuccess()) {
      Future<?> unused = group.shutdownGracefully();
      throw new IllegalStateException(
          "cannot listen for peers at " + bindAddress + "; choose a free port", bound.cause());
    }
    return bound.channel();
  }

  private void connect(PeerLink link, PeerConnection connection) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, environment.limits().connectTimeoutMs())
            .handler(connection)
            .connect(link.address());
    ChannelFuture unused =
        connecting.addListener(
            done -> {
              if (done.isSuccess()) {
                link.onChannelOpened(connecting.channel());
              } else {
                Logger.debug("peer: cannot connect to {}: {}", link.address(), done.cause());
                link.onClosed(connection, Optional.empty());
              }
            });
  }

  /** Returns the address that this daemon listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /**
   * Sets the members to keep a connection to; an entry for this daemon is ignored. Connections to
   * members that are no longer in the map are closed.
   *
   * @param addresses {@code host:port} by member id
   */
  public void setMembers(Map<String, String> addresses) {
    Map<String, String> copy = Map.copyOf(addresses);
    runOnLoop(() -> table.setMembers(copy));
  }

  /**
   * Sets further addresses to keep a connection to, regardless of which member is there. A daemon
   * needs them while it cannot read the members from the log.
   *
   * @param addresses in the form {@code host:port}
   */
  public void setSeeds(Collection<String> addresses) {
    Set<String> copy = Set.copyOf(addresses);
    runOnLoop(() -> table.setSeeds(copy));
  }

  /**
   * Queues a message for sending; it may still be lost.
   *
   * @return false if the message is larger than a frame or the transport is closed
   */
  public boolean send(String memberId, PeerMessage message) {
    byte[] frame = PeerMessageCodec.encode(message);
    if (frame.length > PeerLimits.MAX_FRAME_BYTES) {
      Logger.warn(
          "peer: a {} of {} bytes is too large to send",
          message.getClass().getSimpleName(),
          frame.length);
      environment.metrics().addDroppedMessages(1);
      return false;
    }
    return runOnLoop(() -> table.send(memberId, frame));
  }

  /** Returns the members with an authenticated connection in any direction. */
  public Set<String> connectedMembers() {
    return table.connectedMembers();
  }

  private boolean runOnLoop(Runnable action) {
    try {
      loop.execute(action);
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Closes all connections and ends the thread. */
  @Override
  public void close() {
    boolean unusedClosed = server.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    runOnLoop(table::close);
    boolean unusedEnded =
        group
            .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
  }
}
