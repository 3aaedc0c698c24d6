package org.laburnumarch.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.Mockito.mock;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;

/** Tests what an owner learns of orders that get no reply. */
class WorkerClientTest {

  /** Guards against a task that waits for a start order which never left the owner. */
  @Test
  void shouldCountAnOrderAsNotExecutedIfTheWorkerDoesNotRespondToTheConnect() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket listener = new ServerSocket(0, 1, loopback);
        Socket first = new Socket(loopback, listener.getLocalPort());
        Socket second = new Socket(loopback, listener.getLocalPort());
        EventLoopThread loop = new EventLoopThread();
        WorkerClient client =
            new WorkerClient(
                new InetSocketAddress(loopback, listener.getLocalPort()),
                "w1",
                loop,
                () -> 0,
                mock(WorkerTraffic.class))) {
      assertThat(first.isConnected() && second.isConnected()).as("the queue is full").isTrue();
      OrderReply reply =
          loop.call(() -> client.start("0000000000000001.0.0.0", 1, "", 1_000, 1, "", ""))
              .toCompletableFuture()
              .join();
      assertThat(reply.outcome()).isEqualTo(Outcome.UNREACHABLE);
    }
  }

  /** Guards against an order that counts for long because nobody knows which process got it. */
  @Test
  void shouldTellWhenTheConnectionOfAnUnansweredOrderWasMade() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket listener = new ServerSocket(0, 1, loopback);
        EventLoopThread loop = new EventLoopThread();
        WorkerClient client =
            new WorkerClient(
                new InetSocketAddress(loopback, listener.getLocalPort()),
                "w1",
                loop,
                () -> 7,
                mock(WorkerTraffic.class))) {
      OrderReply reply =
          loop.call(() -> client.start("0000000000000001.0.0.0", 1, "", 1_000, 1, "", ""))
              .toCompletableFuture()
              .join();
      assertThat(reply).isEqualTo(new OrderReply(Outcome.UNKNOWN, -1, 7));
    }
  }
}
