package org.laburnumarch.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.time.MonotonicClock;
import org.tinylog.Logger;

/** One connection: performs the handshake, then carries messages. Used on its event loop only. */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

  /** Size of the length prefix of each frame. */
  static final int PREFIX_BYTES = 4;

  private static final String DECODER = "frame-decoder";

  /** Receives the events of a connection, on its event loop. */
  interface Listener {
    /** The peer is authenticated. */
    void onReady(PeerConnection connection, PeerIdentity peer);

    /** A message arrived. */
    void onMessage(PeerIdentity peer, PeerMessage message);

    /** The connection is closed; {@code peer} is empty if it never was authenticated. */
    void onClosed(PeerConnection connection, Optional<PeerIdentity> peer);
  }

  private final Handshake handshake;
  private final OutboundQueue queue;
  private final PeerLimits limits;
  private final PeerMetrics metrics;
  private final MonotonicClock clock;
  private final Listener listener;
  private Optional<PeerIdentity> peer = Optional.empty();
  private Optional<ChannelHandlerContext> context = Optional.empty();
  private Optional<ScheduledFuture<?>> timeoutTask = Optional.empty();
  private boolean wroteSinceHeartbeat;
  private long ackDeadlineMs = Long.MAX_VALUE;

  /** Creates the handler of a connection that is about to be opened. */
  PeerConnection(
      Handshake handshake,
      OutboundQueue queue,
      PeerLimits limits,
      PeerMetrics metrics,
      MonotonicClock clock,
      Listener listener) {
    this.handshake = handshake;
    this.queue = queue;
    this.limits = limits;
    this.metrics = metrics;
    this.clock = clock;
    this.listener = listener;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.pipeline()
        .addBefore(ctx.name(), DECODER, decoder(PeerLimits.MAX_HANDSHAKE_FRAME_BYTES))
        .addBefore(ctx.name(), null, new LengthFieldPrepender(PREFIX_BYTES));
  }

  private static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
    return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, PREFIX_BYTES, 0, PREFIX_BYTES);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = Optional.of(ctx);
    timeoutTask =
        Optional.of(
            ctx.executor()
                .schedule(
                    () -> closeUnlessAuthenticated(ctx),
                    limits.handshakeTimeoutMs(),
                    TimeUnit.MILLISECONDS));
    handshake.initialFrame().ifPresent(frame -> write(ctx, LinkFrameCodec.encode(frame)));
  }

  private void closeUnlessAuthenticated(ChannelHandlerContext ctx) {
    if (peer.isEmpty() && ctx.channel().isActive()) {
      closeAsRefused(
          ctx,
          Refusal.of(ResultCode.PEER_REFUSED, "the peer did not complete the handshake in time"));
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf buffer) {
    byte[] frame = new byte[buffer.readableBytes()];
    buffer.readBytes(frame);
    metrics.addReceivedBytes(frame.length + PREFIX_BYTES);
    ackDeadlineMs = Long.MAX_VALUE;
    if (peer.isEmpty() || LinkFrameCodec.isLinkFrame(frame)) {
      LinkFrameCodec.decode(frame)
          .peek(read -> onLinkFrame(ctx, read))
          .peekLeft(refusal -> closeAsMalformed(ctx, refusal.message()));
    } else {
      PeerMessageCodec.decode(frame)
          .peek(this::onMessage)
          .peekLeft(refusal -> closeAsMalformed(ctx, refusal.message()));
    }
  }

  private void onMessage(PeerMessage message) {
    metrics.incrementReceivedMessages();
    peer.ifPresent(sender -> listener.onMessage(sender, message));
  }

  private void onLinkFrame(ChannelHandlerContext ctx, LinkFrame frame) {
    if (peer.isEmpty()) {
      handshake
          .onFrame(frame)
          .peek(result -> applyResult(ctx, result))
          .peekLeft(refusal -> closeAsRefused(ctx, refusal));
    } else if (frame instanceof LinkFrame.Heartbeat) {
      write(ctx, LinkFrameCodec.encode(new LinkFrame.HeartbeatAck()));
    } else if (!(frame instanceof LinkFrame.HeartbeatAck)) {
      closeAsMalformed(ctx, "handshake frame on an authenticated connection");
    }
  }

  private void applyResult(ChannelHandlerContext ctx, Handshake.FrameResult result) {
    result.reply().ifPresent(frame -> write(ctx, LinkFrameCodec.encode(frame)));
    result.peer().ifPresent(identity -> onAuthenticated(ctx, identity));
  }

  private void onAuthenticated(ChannelHandlerContext ctx, PeerIdentity identity) {
    peer = Optional.of(identity);
    metrics.incrementOpenedConnections();
    ctx.pipeline().replace(DECODER, DECODER, decoder(PeerLimits.MAX_FRAME_BYTES));
    long periodMs = Math.max(1, limits.heartbeatTimeoutMs() / 3);
    cancelTimeoutTask();
    timeoutTask =
        Optional.of(
            ctx.executor()
                .scheduleAtFixedRate(
                    () -> checkHeartbeat(ctx), periodMs, periodMs, TimeUnit.MILLISECONDS));
    listener.onReady(this, identity);
    flush();
  }

  private void cancelTimeoutTask() {
    timeoutTask.ifPresent(task -> task.cancel(false));
  }

  /**
   * Closes the connection if nothing was received in time after a heartbeat; any frame counts.
   * Sends a heartbeat only after messages were written, so that an idle connection causes no
   * traffic.
   */
  private void checkHeartbeat(ChannelHandlerContext ctx) {
    if (!ctx.channel().isActive()) {
      return;
    }
    long nowMs = clock.nowMs();
    if (nowMs >= ackDeadlineMs) {
      metrics.incrementSilentConnections();
      Logger.info(
          "peer: connection to {} is closed: no response to a heartbeat",
          ctx.channel().remoteAddress());
      closeNow(ctx);
    } else if (wroteSinceHeartbeat && ackDeadlineMs == Long.MAX_VALUE) {
      wroteSinceHeartbeat = false;
      ackDeadlineMs = nowMs + limits.heartbeatTimeoutMs();
      write(ctx, LinkFrameCodec.encode(new LinkFrame.Heartbeat()));
    }
  }

  /** Queues a message's frame and writes as many frames as the channel accepts. */
  void offer(byte[] frame) {
    metrics.addDroppedMessages(queue.add(frame, clock.nowMs()));
    flush();
  }

  /** Writes queued messages while the channel accepts them; does nothing before authentication. */
  void flush() {
    if (peer.isEmpty()) {
      return;
    }
    context.ifPresent(this::writeQueued);
  }

  private void writeQueued(ChannelHandlerContext ctx) {
    metrics.addDroppedMessages(queue.dropExpired(clock.nowMs()));
    while (ctx.channel().isActive() && ctx.channel().isWritable()) {
      Optional<byte[]> frame = queue.poll();
      if (frame.isEmpty()) {
        return;
      }
      wroteSinceHeartbeat = true;
      metrics.incrementSentMessages();
      write(ctx, frame.get());
    }
  }

  private void write(ChannelHandlerContext ctx, byte[] frame) {
    metrics.addSentBytes(frame.length + PREFIX_BYTES);
    ChannelFuture unused =
        ctx.writeAndFlush(Unpooled.wrappedBuffer(frame))
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    flush();
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimeoutTask();
    listener.onClosed(this, peer);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof DecoderException) {
      closeAsMalformed(ctx, String.valueOf(cause.getMessage()));
    } else {
      Logger.debug("peer: connection to {} failed: {}", ctx.channel().remoteAddress(), cause);
      closeNow(ctx);
    }
  }

  private void closeAsMalformed(ChannelHandlerContext ctx, String reason) {
    metrics.incrementMalformedFrames();
    Logger.warn("peer: {} sent a malformed frame: {}", ctx.channel().remoteAddress(), reason);
    closeNow(ctx);
  }

  private void closeAsRefused(ChannelHandlerContext ctx, Refusal refusal) {
    metrics.incrementRefusedHandshakes();
    Logger.warn("peer: {} is refused: {}", ctx.channel().remoteAddress(), refusal.message());
    closeNow(ctx);
  }

  private static void closeNow(ChannelHandlerContext ctx) {
    ChannelFuture unused = ctx.close();
  }

  /** Closes the connection. */
  void close() {
    context.ifPresent(PeerConnection::closeNow);
  }
}
