package org.laburnumarch.internal.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.laburnumarch.internal.link.LinkMessage.Announcement;
import org.laburnumarch.internal.link.LinkMessage.Call;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.link.LinkMessage.RecordsRequest;
import org.laburnumarch.internal.link.LinkMessage.Reply;
import org.tinylog.Logger;

/** Accepts connections from other daemons and replies to their calls. */
public final class LinkServer implements AutoCloseable {

  /** The operations of the daemon that the server exposes to other daemons. */
  public interface Service {

    /** Executes a call. */
    CompletionStage<JobReply> call(Call call);

    /** Returns this daemon's heartbeat. */
    Heartbeat heartbeat();

    /**
     * Another daemon has announced that it owns the fleet.
     *
     * @param record the encoded record of the ownership
     */
    void onAnnouncement(byte[] record);

    /**
     * Another daemon has sent a message of the handover of the ownership.
     *
     * @param reply sends messages to that daemon
     */
    default void onHandoverMessage(HandoverMessage message, Consumer<HandoverMessage> reply) {}

    /** Returns the operators' records that this daemon knows. */
    List<OperatorRecord> operatorRecords();
  }

  private final Service service;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;

  /**
   * Starts listening.
   *
   * @param address address to listen on
   * @param group threads for the connections
   * @param service executes the calls
   */
  public LinkServer(InetSocketAddress address, EventLoopGroup group, Service service) {
    this.service = service;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(serverType(group))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    LinkCodec.install(channel.pipeline());
                    channel.pipeline().addLast(new Handler());
                    connections.add(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  private static Class<? extends ServerSocketChannel> serverType(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup
        ? EpollServerSocketChannel.class
        : NioServerSocketChannel.class;
  }

  /** Sends a heartbeat to all connected daemons. */
  public void broadcast(Heartbeat heartbeat) {
    Future<?> unused = connections.writeAndFlush(heartbeat);
  }

  /** Returns whether any daemon is connected. */
  public boolean hasConnections() {
    return !connections.isEmpty();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    Future<?> unusedListener = listener.close();
    Future<?> unusedConnections = connections.close();
  }

  private final class Handler extends SimpleChannelInboundHandler<LinkMessage> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      Future<?> unused = context.writeAndFlush(service.heartbeat());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, LinkMessage message) {
      if (message instanceof Call call) {
        service
            .call(call)
            .whenComplete(
                (reply, failure) -> {
                  JobReply jobReply =
                      failure == null ? reply : JobReply.of(JobReply.Code.UNDECIDED);
                  Future<?> unused = context.writeAndFlush(new Reply(call.id(), jobReply));
                });
      } else if (message instanceof Announcement announcement) {
        service.onAnnouncement(announcement.record());
        Future<?> unused = context.writeAndFlush(service.heartbeat());
      } else if (message instanceof HandoverMessage handover) {
        service.onHandoverMessage(
            handover,
            reply -> {
              Future<?> unused = context.writeAndFlush(reply);
            });
      } else if (message instanceof RecordsRequest) {
        for (OperatorRecord stored : service.operatorRecords()) {
          Future<?> unused = context.write(stored);
        }
        context.flush();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("link: connection of {} lost: {}", context.channel().remoteAddress(), cause);
      Future<?> unused = context.close();
    }
  }
}
