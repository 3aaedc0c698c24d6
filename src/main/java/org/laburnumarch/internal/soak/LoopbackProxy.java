package org.laburnumarch.internal.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
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
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

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
    RESET
  }

  private static final long DELAY_MS = 120;

  private final InetSocketAddress target;
  private final EventLoopGroup group;
  private final Channel listener;
  private final Set<ProxiedConnection> connections = new HashSet<>();
  private Mode mode = Mode.FORWARD;

  /**
   * Binds the address and starts the proxy. Must not be called on the group's thread, unlike all
   * other methods.
   *
   * @param group event loop group with a single thread
   * @throws InterruptedException if the thread is interrupted while it binds
   */
  LoopbackProxy(InetSocketAddress address, InetSocketAddress target, EventLoopGroup group)
      throws InterruptedException {
    this.target = target;
    this.group = group;
    this.listener =
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
                })
            .bind(address)
            .sync()
            .channel();
  }

  /** Applies a mode to open and new connections. */
  void setMode(Mode newMode) {
    mode = newMode;
    Set.copyOf(connections).forEach(connection -> connection.apply(newMode));
  }

  private void accept(Channel caller) {
    if (mode == Mode.RESET) {
      reset(caller);
      return;
    }
    ProxiedConnection connection = new ProxiedConnection(caller);
    connections.add(connection);
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
                        connection.apply(mode);
                      } else {
                        connection.close();
                      }
                    }));
    caller.pipeline().addLast(new ForwardingHandler(connection, true));
  }

  /** Ignores a result, because a failure shows as the end of a connection. */
  private static void ignoreResult(Future<?> unused) {}

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    ignoreResult(channel.close());
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    ignoreResult(listener.close());
    Set.copyOf(connections).forEach(ProxiedConnection::close);
  }

  /** One forwarded connection. */
  private final class ProxiedConnection {
    private final Channel caller;
    private Channel server;

    ProxiedConnection(Channel caller) {
      this.caller = caller;
    }

    void apply(Mode newMode) {
      if (newMode == Mode.RESET) {
        connections.remove(this);
        reset(caller);
        if (server != null) {
          reset(server);
        }
      } else if (server != null) {
        caller.config().setAutoRead(newMode != Mode.SILENT && newMode != Mode.SILENT_TO_SERVER);
        server.config().setAutoRead(newMode != Mode.SILENT && newMode != Mode.SILENT_TO_CALLER);
      }
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
  private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final ProxiedConnection connection;
    private final boolean isFromCaller;

    ForwardingHandler(ProxiedConnection connection, boolean isFromCaller) {
      this.connection = connection;
      this.isFromCaller = isFromCaller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      Channel other = isFromCaller ? connection.server : connection.caller;
      ByteBuf bytes = (ByteBuf) message;
      if (mode == Mode.DELAY) {
        ignoreResult(
            context
                .executor()
                .schedule(
                    () -> ignoreResult(other.writeAndFlush(bytes)),
                    DELAY_MS,
                    TimeUnit.MILLISECONDS));
      } else {
        ignoreResult(other.writeAndFlush(bytes));
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
