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
 * Forwards TCP connections on a loopback address and harms them on demand. All calls on the group's
 * one thread.
 */
final class LoopbackProxy implements AutoCloseable {

  /** What the proxy does to connections, open and new ones. */
  enum Mode {
    /** Forwards both ways. */
    FORWARD,
    /** Forwards both ways, later. */
    DELAY,
    /** Holds back what callers send; it arrives when the mode changes. */
    SILENT_TO_SERVER,
    /** Holds back what the server sends; it arrives when the mode changes. */
    SILENT_TO_CALLER,
    /** Holds back both. */
    SILENT,
    /** Resets open connections and every new one. */
    RESET
  }

  private static final long DELAY_MS = 120;

  private final InetSocketAddress target;
  private final EventLoopGroup group;
  private final Channel listener;
  private final Set<Pair> pairs = new HashSet<>();
  private Mode mode = Mode.FORWARD;

  /**
   * Starts to listen.
   *
   * @param group one thread
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
                    open(caller);
                  }
                })
            .bind(address)
            .sync()
            .channel();
  }

  /** Changes what is done to connections. */
  void behave(Mode newMode) {
    mode = newMode;
    Set.copyOf(pairs).forEach(pair -> pair.apply(newMode));
  }

  private void open(Channel caller) {
    if (mode == Mode.RESET) {
      reset(caller);
      return;
    }
    Pair pair = new Pair(caller);
    pairs.add(pair);
    go(
        new Bootstrap()
            .group(group)
            .channel(
                group instanceof NioEventLoopGroup
                    ? NioSocketChannel.class
                    : EpollSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new Relay(pair, false))
            .connect(target)
            .addListener(
                (ChannelFutureListener)
                    connected -> {
                      if (connected.isSuccess()) {
                        pair.server = connected.channel();
                        pair.apply(mode);
                      } else {
                        pair.close();
                      }
                    }));
    caller.pipeline().addLast(new Relay(pair, true));
  }

  /** Lets something happen whose failure shows as the end of a connection. */
  private static void go(Future<?> unused) {}

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    go(channel.close());
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    go(listener.close());
    Set.copyOf(pairs).forEach(Pair::close);
  }

  /** One forwarded connection. */
  private final class Pair {
    private final Channel caller;
    private Channel server;

    Pair(Channel caller) {
      this.caller = caller;
    }

    void apply(Mode newMode) {
      if (newMode == Mode.RESET) {
        pairs.remove(this);
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
      pairs.remove(this);
      go(caller.close());
      if (server != null) {
        go(server.close());
      }
    }
  }

  /** Passes on what one side of a connection sends. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Pair pair;
    private final boolean isFromCaller;

    Relay(Pair pair, boolean isFromCaller) {
      this.pair = pair;
      this.isFromCaller = isFromCaller;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      Channel other = isFromCaller ? pair.server : pair.caller;
      ByteBuf bytes = (ByteBuf) message;
      if (mode == Mode.DELAY) {
        go(
            context
                .executor()
                .schedule(() -> go(other.writeAndFlush(bytes)), DELAY_MS, TimeUnit.MILLISECONDS));
      } else {
        go(other.writeAndFlush(bytes));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      // What is on its way with a delay may be lost with the connection, as on a real network.
      pair.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pair.close();
    }
  }
}
