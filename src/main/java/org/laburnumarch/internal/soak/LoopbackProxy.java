package org.laburnumarch.internal.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tinylog.Logger;

/**
 * Forwards TCP connections on a loopback address and injects connection faults. Methods must be
 * called on the group's only thread.
 */
final class LoopbackProxy implements AutoCloseable {

  /** What the proxy does to open and new connections. */
  enum Mode {
    /** Forwards in both directions. */
    FORWARD,
    /** Forwards in both directions after a delay. */
    DELAY,
    /** Holds back what callers send; it arrives when the mode changes. */
    SILENT_TO_SERVER,
    /** Holds back what the server sends; it arrives when the mode changes. */
    SILENT_TO_CALLER,
    /** Holds back both directions. */
    SILENT,
    /** Resets open connections and every new one. */
    RESET,
    /** Resets open connections and refuses new ones, as the address has no listener. */
    REFUSE,
    /** Holds back what the server sends for the time that {@link #delayAnswers} sets. */
    DELAY_ANSWERS,
    /** Drops what the server sends on every second connection, also after the mode has changed. */
    LOSE_ANSWERS
  }

  private static final long DELAY_MS = 120;

  /** Time in which a request that consists of several segments reaches the server. */
  private static final long REQUEST_MS = 5;

  private final InetSocketAddress target;
  private final EventLoopGroup group;
  private final ServerBootstrap bootstrap;
  private final InetSocketAddress address;
  private final Set<ProxiedConnection> connections = new HashSet<>();
  private Channel listener;
  private Mode mode = Mode.FORWARD;
  private Predicate<InetSocketAddress> affectedCallers = caller -> true;
  private long answerDelayMs;
  private int acceptedConnections;
  private boolean isClosed;

  /**
   * Binds the address and starts the proxy. Must not be called on the group's thread, unlike all
   * other methods.
   *
   * @param group event loop group with a single thread
   * @throws InterruptedException if the thread is interrupted while it binds
   */
  LoopbackProxy(InetSocketAddress address, InetSocketAddress target, EventLoopGroup group)
      throws InterruptedException {
    this.address = address;
    this.target = target;
    this.group = group;
    this.bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(
                group instanceof NioEventLoopGroup
                    ? NioServerSocketChannel.class
                    : EpollServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel caller) {
                    accept(caller);
                  }
                });
    this.listener = bootstrap.bind(address).sync().channel();
  }

  /** Applies a mode to open and new connections. */
  void setMode(Mode newMode) {
    setMode(newMode, caller -> true);
  }

  /**
   * Applies a mode other than {@link Mode#REFUSE}, for which there is one listener, to the
   * connections of some callers and forwards those of all others.
   *
   * @param callers selects callers by the address of their end of the connection
   */
  void setMode(Mode newMode, Predicate<InetSocketAddress> callers) {
    if (newMode == Mode.REFUSE) {
      ignoreResult(listener.close());
    } else if (mode == Mode.REFUSE) {
      listen();
    }
    mode = newMode;
    affectedCallers = callers;
    for (ProxiedConnection connection : Set.copyOf(connections)) {
      connection.select();
      connection.applyMode();
    }
  }

  /** Resets the connections that are open now, each shortly after its next request if wanted. */
  void resetConnections(boolean isAfterRequest) {
    for (ProxiedConnection connection : Set.copyOf(connections)) {
      if (isAfterRequest) {
        connection.isResetAfterRequest = true;
      } else {
        connection.reset();
      }
    }
  }

  /** Holds back the server's answers until the mode changes. */
  void delayAnswers(long delayMs) {
    answerDelayMs = delayMs;
    setMode(Mode.DELAY_ANSWERS);
  }

  private void listen() {
    if (isClosed) {
      return;
    }
    ChannelFuture bound = bootstrap.bind(address);
    listener = bound.channel();
    ignoreResult(
        bound.addListener(
            result -> {
              if (!result.isSuccess()) {
                Logger.error(result.cause(), "soak: {} cannot be bound again", address);
              }
            }));
  }

  private void accept(Channel caller) {
    ProxiedConnection connection = new ProxiedConnection(caller, acceptedConnections++);
    connections.add(connection);
    connection.select();
    if (connection.mode() == Mode.RESET || connection.mode() == Mode.REFUSE) {
      connection.reset();
      return;
    }
    ignoreResult(
        new Bootstrap()
            .group(group)
            .channel(
                group instanceof NioEventLoopGroup
                    ? NioSocketChannel.class
                    : EpollSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ForwardingHandler(connection, false))
            .connect(target)
            .addListener(
                (ChannelFutureListener)
                    connected -> {
                      if (connected.isSuccess()) {
                        connection.server = connected.channel();
                        connection.onConnected();
                      } else {
                        connection.close();
                      }
                    }));
    caller.pipeline().addLast(new ForwardingHandler(connection, true));
  }

  /** Ignores a result, because a failure shows as the end of a connection. */
  private static void ignoreResult(Future<?> unused) {}

  private static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    ignoreResult(channel.close());
  }

  @Override
  public String toString() {
    return String.valueOf(address.getPort());
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    isClosed = true;
    ignoreResult(listener.close());
    Set.copyOf(connections).forEach(ProxiedConnection::close);
  }

  /** One forwarded connection. */
  private final class ProxiedConnection {
    private final Channel caller;
    private final int number;
    private Channel server;
    private boolean isAffected;
    private boolean isResetAfterRequest;
    private boolean areAnswersDropped;

    ProxiedConnection(Channel caller, int number) {
      this.caller = caller;
      this.number = number;
    }

    /** Updates whether the proxy's mode applies to this connection. */
    void select() {
      // A connection that was just closed has no remote address.
      isAffected =
          caller.remoteAddress() instanceof InetSocketAddress source
              && affectedCallers.test(source);
    }

    Mode mode() {
      return isAffected ? mode : Mode.FORWARD;
    }

    void onConnected() {
      if (!connections.contains(this)) {
        close();
        return;
      }
      applyMode();
    }

    void applyMode() {
      Mode applied = mode();
      if (applied == Mode.RESET || applied == Mode.REFUSE) {
        reset();
        return;
      }
      areAnswersDropped |= applied == Mode.LOSE_ANSWERS && number % 2 == 0;
      if (server != null) {
        caller.config().setAutoRead(applied != Mode.SILENT && applied != Mode.SILENT_TO_SERVER);
        server.config().setAutoRead(applied != Mode.SILENT && applied != Mode.SILENT_TO_CALLER);
      }
    }

    void reset() {
      connections.remove(this);
      LoopbackProxy.reset(caller);
      if (server != null) {
        LoopbackProxy.reset(server);
      }
    }

    /** Resets the caller's side once a request has reached the server, which executes it. */
    void resetAfterRequest() {
      isResetAfterRequest = false;
      areAnswersDropped = true;
      caller.config().setOption(ChannelOption.SO_LINGER, 0);
      ignoreResult(caller.eventLoop().schedule(this::close, REQUEST_MS, TimeUnit.MILLISECONDS));
    }

    long delayMs(boolean isFromCaller) {
      return switch (mode) {
        case DELAY -> DELAY_MS;
        case DELAY_ANSWERS -> isFromCaller ? 0 : answerDelayMs;
        default -> 0;
      };
    }

    void close() {
      connections.remove(this);
      ignoreResult(caller.close());
      if (server != null) {
        ignoreResult(server.close());
      }
    }
  }

  /** Forwards what one side of a connection sends to the other side. */
  private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final ProxiedConnection connection;
    private final boolean isFromCaller;
    private final Deque<ByteBuf> delayedMessages = new ArrayDeque<>();
    private long lastDueNanos = System.nanoTime();

    ForwardingHandler(ProxiedConnection connection, boolean isFromCaller) {
      this.connection = connection;
      this.isFromCaller = isFromCaller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      Channel other = isFromCaller ? connection.server : connection.caller;
      ByteBuf bytes = (ByteBuf) message;
      if (!isFromCaller && connection.areAnswersDropped) {
        bytes.release();
        return;
      }
      long nowNanos = System.nanoTime();
      long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(connection.delayMs(isFromCaller));
      // Later bytes must not overtake delayed ones when the mode changes.
      lastDueNanos = Math.max(lastDueNanos, dueNanos);
      if (lastDueNanos > nowNanos || !delayedMessages.isEmpty()) {
        delayedMessages.add(bytes);
        ignoreResult(
            context
                .executor()
                .schedule(
                    () -> ignoreResult(other.writeAndFlush(delayedMessages.remove())),
                    lastDueNanos - nowNanos,
                    TimeUnit.NANOSECONDS));
      } else {
        ignoreResult(other.writeAndFlush(bytes));
      }
      if (isFromCaller && connection.isResetAfterRequest) {
        connection.resetAfterRequest();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      // Delayed bytes may be lost when the connection closes, as on a real network.
      connection.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      connection.close();
    }
  }
}
