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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
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
    /**
     * Responds to nothing. Bytes on open connections arrive with the first retransmission after the
     * mode has changed; opening packets are dropped.
     */
    UNREACHABLE,
    /** Holds back what the server sends for the time that {@link #delayAnswers} sets. */
    DELAY_ANSWERS,
    /** Drops what the server sends on every second connection, also after the mode has changed. */
    LOSE_ANSWERS
  }

  private static final long DELAY_MS = 120;

  /** Time in which a request that consists of several segments reaches the server. */
  private static final long REQUEST_MS = 5;

  /** Time until the first retransmission; each further one takes twice as long. */
  private static final long FIRST_RETRANSMISSION_MS = 200;

  private final InetSocketAddress target;
  private final EventLoopGroup group;
  private final ServerBootstrap bootstrap;
  private final InetSocketAddress address;
  private final Set<ProxiedConnection> connections = new HashSet<>();
  private Channel listener;
  private Optional<UnresponsiveAddress> unresponsive = Optional.empty();
  private boolean isListening = true;
  private Mode mode = Mode.FORWARD;
  private Predicate<InetSocketAddress> affectedCallers = caller -> true;
  private Set<Integer> knownPorts = Set.of();
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
    boolean isUnreachable = newMode == Mode.UNREACHABLE;
    if (isUnreachable && unresponsive.isPresent()) {
      return;
    }
    setListening(newMode != Mode.REFUSE && !isUnreachable);
    if (isUnreachable) {
      try {
        unresponsive = Optional.of(new UnresponsiveAddress(address));
      } catch (IOException e) {
        Logger.error(e, "soak: {} cannot be made unresponsive", address);
      }
      knownPorts = Set.of();
    }
    applyMode(newMode, caller -> true);
  }

  /**
   * Applies a mode other than {@link Mode#REFUSE} and {@link Mode#UNREACHABLE}, for which there is
   * one listener, to the connections of some callers and forwards those of all others.
   *
   * @param callers selects callers by the address of their end of the connection
   */
  void setMode(Mode newMode, Predicate<InetSocketAddress> callers) {
    setListening(true);
    applyMode(newMode, callers);
  }

  /**
   * Cuts the connections of some callers. The listener accepts their new connections and forwards
   * nothing on them; those from other ports wait until a later call knows them, or another mode.
   *
   * @param cutPorts the callers' ports, and whether their connections are cut
   */
  void cut(Map<Integer, Boolean> cutPorts) {
    setListening(true);
    knownPorts = cutPorts.keySet();
    applyMode(Mode.UNREACHABLE, caller -> cutPorts.getOrDefault(caller.getPort(), false));
    for (ProxiedConnection connection : Set.copyOf(connections)) {
      if (connection.isWaiting && connection.isFrom(knownPorts)) {
        connection.open();
      }
    }
  }

  private void applyMode(Mode newMode, Predicate<InetSocketAddress> callers) {
    mode = newMode;
    affectedCallers = callers;
    for (ProxiedConnection connection : Set.copyOf(connections)) {
      connection.select();
      connection.applyMode();
      if (connection.isWaiting && newMode != Mode.UNREACHABLE) {
        connection.open();
      }
    }
  }

  private void setListening(boolean isWanted) {
    Optional<UnresponsiveAddress> former = unresponsive;
    unresponsive = Optional.empty();
    if (!isWanted) {
      former.ifPresent(UnresponsiveAddress::close);
      ignoreResult(listener.close());
    } else if (!isListening) {
      // The next task of the loop binds the address again; an earlier close would refuse callers.
      former.ifPresent(held -> group.next().execute(held::close));
      listen();
    }
    isListening = isWanted;
  }

  /**
   * Forwards nothing more on the connections that are open now, for their life. No end of these
   * connections learns what the other one does, not even that it closes.
   */
  void silenceConnections() {
    Set.copyOf(connections).forEach(ProxiedConnection::silence);
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
    caller.pipeline().addLast(connection.fromCaller);
    if (mode == Mode.UNREACHABLE && !connection.isFrom(knownPorts)) {
      connection.isWaiting = true;
    } else {
      connection.open();
    }
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
    unresponsive.ifPresent(UnresponsiveAddress::close);
    ignoreResult(listener.close());
    Set.copyOf(connections).forEach(ProxiedConnection::close);
  }

  /** One forwarded connection. */
  private final class ProxiedConnection {
    private final Channel caller;
    private final int number;
    private final ForwardingHandler fromCaller = new ForwardingHandler(this, true);
    private final ForwardingHandler fromServer = new ForwardingHandler(this, false);
    private Channel server;
    private boolean isWaiting;
    private boolean isSilent;
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

    boolean isFrom(Set<Integer> ports) {
      return caller.remoteAddress() instanceof InetSocketAddress source
          && ports.contains(source.getPort());
    }

    /** Connects to the server. */
    void open() {
      isWaiting = false;
      if (!caller.isOpen()) {
        close();
        return;
      }
      if (mode() == Mode.UNREACHABLE) {
        isSilent = true;
        caller.config().setAutoRead(true);
        return;
      }
      if (mode() == Mode.RESET || mode() == Mode.REFUSE) {
        reset();
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
              .handler(fromServer)
              .connect(target)
              .addListener(
                  (ChannelFutureListener)
                      connected -> {
                        if (connected.isSuccess()) {
                          server = connected.channel();
                          onConnected();
                        } else {
                          close();
                        }
                      }));
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

    void silence() {
      isSilent = true;
      applyMode();
    }

    void applyMode() {
      // A connection that is silent stays so, and its ends have to be read to see that they close.
      Mode applied = isSilent ? Mode.FORWARD : mode();
      if (applied == Mode.RESET || applied == Mode.REFUSE) {
        reset();
        return;
      }
      areAnswersDropped |= applied == Mode.LOSE_ANSWERS && number % 2 == 0;
      if (applied != Mode.UNREACHABLE) {
        fromCaller.scheduleRetransmission();
        fromServer.scheduleRetransmission();
      }
      if (server != null) {
        caller.config().setAutoRead(applied != Mode.SILENT && applied != Mode.SILENT_TO_SERVER);
        server.config().setAutoRead(applied != Mode.SILENT && applied != Mode.SILENT_TO_CALLER);
      }
    }

    void reset() {
      connections.remove(this);
      fromCaller.dropUnacknowledged();
      fromServer.dropUnacknowledged();
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

    boolean isHoldingBack() {
      return !isSilent && mode() == Mode.UNREACHABLE;
    }

    /** Closes the other end, too, unless it learns of nothing any more. */
    void onEnd() {
      if (!isSilent) {
        close();
      } else if (!caller.isOpen() && (server == null || !server.isOpen())) {
        connections.remove(this);
      }
    }

    void close() {
      connections.remove(this);
      fromCaller.dropUnacknowledged();
      fromServer.dropUnacknowledged();
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
    private final Deque<ByteBuf> unacknowledgedMessages = new ArrayDeque<>();
    private long unacknowledgedSinceNanos;
    private boolean isEnded;
    private long lastDueNanos = System.nanoTime();

    ForwardingHandler(ProxiedConnection connection, boolean isFromCaller) {
      this.connection = connection;
      this.isFromCaller = isFromCaller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      Channel other = other();
      ByteBuf bytes = (ByteBuf) message;
      if (connection.isSilent || (!isFromCaller && connection.areAnswersDropped)) {
        bytes.release();
        return;
      }
      if (connection.isHoldingBack() || !unacknowledgedMessages.isEmpty()) {
        if (unacknowledgedMessages.isEmpty()) {
          unacknowledgedSinceNanos = System.nanoTime();
        }
        unacknowledgedMessages.add(bytes);
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

    private Channel other() {
      return isFromCaller ? connection.server : connection.caller;
    }

    void dropUnacknowledged() {
      unacknowledgedMessages.forEach(ByteBuf::release);
      unacknowledgedMessages.clear();
    }

    /** Forwards what was held back once its sender would send it again. */
    void scheduleRetransmission() {
      if (unacknowledgedMessages.isEmpty()) {
        if (isEnded) {
          connection.onEnd();
        }
        return;
      }
      long ageMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - unacknowledgedSinceNanos);
      long dueMs = FIRST_RETRANSMISSION_MS;
      while (dueMs <= ageMs) {
        dueMs = 2 * dueMs + FIRST_RETRANSMISSION_MS;
      }
      ignoreResult(
          other().eventLoop().schedule(this::retransmit, dueMs - ageMs, TimeUnit.MILLISECONDS));
    }

    private void retransmit() {
      if (connection.isHoldingBack()) {
        return;
      }
      if (connection.isSilent) {
        dropUnacknowledged();
      }
      while (!unacknowledgedMessages.isEmpty()) {
        ignoreResult(other().writeAndFlush(unacknowledgedMessages.remove()));
      }
      if (isEnded) {
        connection.onEnd();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      isEnded = true;
      if (!connection.isHoldingBack() && unacknowledgedMessages.isEmpty()) {
        // Delayed bytes may be lost when the connection closes, as on a real network.
        connection.onEnd();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ignoreResult(context.close());
      connection.onEnd();
    }
  }
}
