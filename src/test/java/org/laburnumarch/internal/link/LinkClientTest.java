package org.laburnumarch.internal.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;

/** Tests what a caller is told whose call was open when the connection ended. */
class LinkClientTest {

  /** More than the buffers of a connection hold. */
  private static final int CALLS = 300;

  private static final byte[] PAYLOAD = new byte[100_000];

  /**
   * Guards against a submission that never left this daemon and is reported as possibly accepted.
   */
  @Test
  void shouldTellCallsThatWereNeverSentFromThoseThatWere() throws Exception {
    CompletableFuture<Boolean> connected = new CompletableFuture<>();
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        EventLoopThread loop = new EventLoopThread()) {
      LinkClient client =
          loop.call(
              () ->
                  new LinkClient(
                      new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort()),
                      loop.group(),
                      new Connected(connected, new CompletableFuture<>())));
      assertThat(connected.get(5, TimeUnit.SECONDS)).isTrue();
      List<CompletableFuture<JobReply>> replies = new ArrayList<>();
      loop.call(
          () -> {
            for (int i = 0; i < CALLS; i++) {
              replies.add(
                  client.call(CallKind.SUBMIT, "q", "id", PAYLOAD, 60_000).toCompletableFuture());
            }
            client.close();
            return null;
          });
      assertThat(replies.get(0).get().code()).isEqualTo(Code.UNDECIDED);
      assertThat(replies.get(CALLS - 1).get().code()).isEqualTo(Code.UNAVAILABLE);
    }
  }

  /** Guards against daemons that take the ownership from each other while a path is cut. */
  @Test
  void shouldNotTakeAnAddressThatDoesNotRespondForOneWithoutAListener() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket first = new Socket(listener.getInetAddress(), listener.getLocalPort());
        Socket second = new Socket(listener.getInetAddress(), listener.getLocalPort());
        EventLoopThread loop = new EventLoopThread()) {
      assertThat(first.isConnected() && second.isConnected()).isTrue();
      assertThat(isRefused(listener.getLocalPort(), loop)).isFalse();
    }
  }

  /** Guards against a takeover from an ended process that begins later than it could. */
  @Test
  void shouldReportAnAddressWithoutAListener() throws Exception {
    try (EventLoopThread loop = new EventLoopThread()) {
      int port;
      try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        port = closed.getLocalPort();
      }
      assertThat(isRefused(port, loop)).isTrue();
    }
  }

  private static boolean isRefused(int port, EventLoopThread loop) throws Exception {
    Connected listener = new Connected(new CompletableFuture<>(), new CompletableFuture<>());
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    LinkClient unused = loop.call(() -> new LinkClient(address, loop.group(), listener));
    return listener.refused().get(5, TimeUnit.SECONDS);
  }

  /** Notes that the connection is established, or why not. */
  private record Connected(CompletableFuture<Boolean> connected, CompletableFuture<Boolean> refused)
      implements LinkClient.Listener {
    @Override
    public void onConnected() {
      connected.complete(true);
    }

    @Override
    public void onHeartbeat(Heartbeat heartbeat) {}

    @Override
    public void onOperatorRecord(OperatorRecord stored) {}

    @Override
    public void onClosed(boolean isRefused) {
      connected.complete(false);
      refused.complete(isRefused);
    }
  }
}
