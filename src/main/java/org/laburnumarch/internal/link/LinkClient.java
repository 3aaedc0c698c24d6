package org.laburnumarch.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.internal.link.LinkMessage.Announcement;
import org.laburnumarch.internal.link.LinkMessage.Call;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.link.LinkMessage.Pulse;
import org.laburnumarch.internal.link.LinkMessage.RecordsWanted;
import org.laburnumarch.internal.link.LinkMessage.Reply;
import org.tinylog.Logger;

/** The connection to the daemon that owns the fleet. Used on one thread only. */
public final class LinkClient implements AutoCloseable {

  /** What the connection tells its daemon. */
  public interface Listener {

    /** Calls can be sent now. */
    void onConnected();

    /** A sign of life came. */
    void onPulse(Pulse pulse);

    /** One of the operators' records came. */
    void onOperatorRecord(OperatorRecord stored);

    /** The connection was refused or has ended. */
    void onClosed(boolean isRefused);
  }

  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Time after which a caller may find an owner again. */
  private static final long RETRY_AFTER_MS = 1_000;

  private final InetSocketAddress address;
  private final EventLoopGroup group;
  private final Listener listener;
  private final Map<Long, CompletableFuture<JobReply>> open = new HashMap<>();
  private Channel channel;
  private long nextId = 1;
  private boolean isClosed;

  /**
   * Starts to connect.
   *
   * @param address where the owner listens
   * @param group thread for the connection
   * @param listener is told what comes
   */
  public LinkClient(InetSocketAddress address, EventLoopGroup group, Listener listener) {
    this.address = address;
    this.group = group;
    this.listener = listener;
    connect();
  }

  /** Returns where the owner listens. */
  public InetSocketAddress address() {
    return address;
  }

  private void connect() {
    new Bootstrap()
        .group(group)
        .channel(
            group instanceof EpollEventLoopGroup
                ? EpollSocketChannel.class
                : NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel created) {
                LinkCodec.install(created.pipeline());
                created.pipeline().addLast(new Handler());
              }
            })
        .connect(address)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                end(future.cause() instanceof ConnectException);
              }
            });
  }

  /** Returns whether calls can be sent. */
  public boolean isConnected() {
    return channel != null && channel.isActive();
  }

  /**
   * Sends a call.
   *
   * @param timeoutMs when to give up, from now; the answer is then undecided
   */
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs) {
    if (!isConnected()) {
      return CompletableFuture.completedStage(
          JobReply.refuse(JobReply.Code.UNAVAILABLE, RETRY_AFTER_MS));
    }
    long id = nextId++;
    CompletableFuture<JobReply> result = new CompletableFuture<>();
    open.put(id, result);
    Future<?> unused = channel.writeAndFlush(new Call(id, kind, queue, jobId, payload));
    var timeout =
        channel
            .eventLoop()
            .schedule(
                () -> complete(id, JobReply.of(JobReply.Code.UNDECIDED)),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    CompletionStage<JobReply> stage = result;
    return stage.whenComplete((reply, failure) -> timeout.cancel(false));
  }

  /** Tells the other daemon that this one owns the fleet. */
  public void announce(byte[] record) {
    if (isConnected()) {
      Future<?> unused = channel.writeAndFlush(new Announcement(record));
    }
  }

  /** Asks for the operators' records. */
  public void wantRecords() {
    if (isConnected()) {
      Future<?> unused = channel.writeAndFlush(new RecordsWanted());
    }
  }

  private void complete(long id, JobReply reply) {
    CompletableFuture<JobReply> result = open.remove(id);
    if (result != null) {
      result.complete(reply);
    }
  }

  private void end(boolean isRefused) {
    if (isClosed) {
      return;
    }
    isClosed = true;
    Map<Long, CompletableFuture<JobReply>> lost = Map.copyOf(open);
    open.clear();
    lost.values().forEach(call -> call.complete(JobReply.of(JobReply.Code.UNDECIDED)));
    listener.onClosed(isRefused);
  }

  /** Returns whether the connection has ended for good. */
  public boolean isClosed() {
    return isClosed;
  }

  /** Closes the connection; open calls become undecided. */
  @Override
  public void close() {
    if (channel != null) {
      Future<?> unused = channel.close();
    }
    end(false);
  }

  private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      listener.onConnected();
      if (isClosed) {
        Future<?> unused = context.close();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      if (message instanceof Reply reply) {
        complete(reply.id(), reply.reply());
      } else if (message instanceof Pulse pulse) {
        listener.onPulse(pulse);
      } else if (message instanceof OperatorRecord stored) {
        listener.onOperatorRecord(stored);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      end(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("link: connection to {} lost: {}", address, cause);
      Future<?> unused = context.close();
    }
  }
}
