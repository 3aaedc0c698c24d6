package org.laburnumarch.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
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
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.link.LinkMessage.RecordsRequest;
import org.laburnumarch.internal.link.LinkMessage.Reply;
import org.tinylog.Logger;

/**
 * A connection to another daemon, mostly to the one that owns the fleet. Used on one thread only.
 */
public final class LinkClient implements AutoCloseable {

  /** Receives the events of a connection. */
  public interface Listener {

    /** The connection is established; calls can be sent from now on. */
    void onConnected();

    /** The other daemon has sent a heartbeat. */
    void onHeartbeat(Heartbeat heartbeat);

    /** The other daemon has sent one of the operators' records. */
    void onOperatorRecord(OperatorRecord stored);

    /** The other daemon has sent a message of the handover of the ownership. */
    default void onHandoverMessage(HandoverMessage message) {}

    /**
     * The connection could not be established or has ended.
     *
     * @param isRefused whether it could not be established because nothing listens at the address
     */
    void onClosed(boolean isRefused);
  }

  /**
   * A call without a reply.
   *
   * @param result completed with the reply
   * @param written done when the whole call has been written to the connection
   */
  private record OpenCall(CompletableFuture<JobReply> result, ChannelFuture written) {}

  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Time after which a caller should retry while there is no connection. */
  private static final long RETRY_AFTER_MS = 1_000;

  private final InetSocketAddress address;
  private final EventLoopGroup group;
  private final Listener listener;
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private Channel channel;
  private long nextId = 1;
  private boolean isClosed;

  /**
   * Creates a client and starts to connect.
   *
   * @param address address on which the other daemon listens
   * @param group thread for the connection
   * @param listener receives the events of the connection
   */
  public LinkClient(InetSocketAddress address, EventLoopGroup group, Listener listener) {
    this.address = address;
    this.group = group;
    this.listener = listener;
    connect();
  }

  /** Returns the address on which the other daemon listens. */
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
                markClosed(isRefusal(future.cause()));
              }
            });
  }

  /** A connect that timed out is a {@link ConnectException}, too, but the path may be cut. */
  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /** Returns whether calls can be sent. */
  public boolean isConnected() {
    return channel != null && channel.isActive();
  }

  /**
   * Sends a call.
   *
   * @param timeoutMs time from now after which the reply is {@link JobReply.Code#UNDECIDED}
   */
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs) {
    if (!isConnected()) {
      return CompletableFuture.completedStage(
          JobReply.refuse(JobReply.Code.UNAVAILABLE, RETRY_AFTER_MS));
    }
    long id = nextId++;
    CompletableFuture<JobReply> result = new CompletableFuture<>();
    ChannelFuture written = channel.writeAndFlush(new Call(id, kind, queue, jobId, payload));
    openCalls.put(id, new OpenCall(result, written));
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

  /** Announces to the other daemon that this one owns the fleet. */
  public void announce(byte[] record) {
    if (isConnected()) {
      Future<?> unused = channel.writeAndFlush(new Announcement(record));
    }
  }

  /** Requests the operators' records. */
  public void requestRecords() {
    if (isConnected()) {
      Future<?> unused = channel.writeAndFlush(new RecordsRequest());
    }
  }

  /** Sends a message of the handover; the other daemon must have shown that it knows them. */
  public void send(HandoverMessage message) {
    if (isConnected()) {
      Future<?> unused = channel.writeAndFlush(message);
    }
  }

  private void complete(long id, JobReply reply) {
    OpenCall call = openCalls.remove(id);
    if (call != null) {
      call.result().complete(reply);
    }
  }

  private void markClosed(boolean isRefused) {
    if (isClosed) {
      return;
    }
    isClosed = true;
    Map<Long, OpenCall> lost = Map.copyOf(openCalls);
    openCalls.clear();
    lost.values().forEach(call -> call.result().complete(replyAfterClose(call)));
    listener.onClosed(isRefused);
  }

  /**
   * Returns the reply to a call whose connection has ended. The receiver drops a part of a call.
   */
  private static JobReply replyAfterClose(OpenCall call) {
    return call.written().isSuccess()
        ? JobReply.of(JobReply.Code.UNDECIDED)
        : JobReply.refuse(JobReply.Code.UNAVAILABLE, RETRY_AFTER_MS);
  }

  /** Returns whether the connection has ended; it is not established again. */
  public boolean isClosed() {
    return isClosed;
  }

  /**
   * Closes the connection; open calls end as {@link JobReply.Code#UNDECIDED}, or as {@link
   * JobReply.Code#UNAVAILABLE} if they have not been sent.
   */
  @Override
  public void close() {
    if (channel != null) {
      Future<?> unused = channel.close();
    }
    markClosed(false);
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
      } else if (message instanceof Heartbeat heartbeat) {
        listener.onHeartbeat(heartbeat);
      } else if (message instanceof OperatorRecord stored) {
        listener.onOperatorRecord(stored);
      } else if (message instanceof HandoverMessage handover) {
        listener.onHandoverMessage(handover);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      markClosed(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("link: connection to {} lost: {}", address, cause);
      Future<?> unused = context.close();
    }
  }
}
