package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;

/** Guards against soak runs whose faults on connections have no effect, or do not end. */
@Timeout(20)
class LoopbackProxyTest {

  private final EventLoopThread loop = new EventLoopThread();
  private PortBlock ports;
  private ServerSocket server;
  private LoopbackProxy proxy;

  @BeforeEach
  void bind() throws Exception {
    ports = PortBlock.reserve(2);
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    server.setSoTimeout(5_000);
    proxy =
        new LoopbackProxy(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.first()),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
            loop.group());
  }

  @AfterEach
  void close() throws Exception {
    onLoop(proxy::close);
    loop.close();
    server.close();
    ports.close();
  }

  private void onLoop(Runnable action) throws Exception {
    loop.call(
        () -> {
          action.run();
          return null;
        });
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), ports.first());
  }

  private static void send(Socket from, int value) throws IOException {
    from.getOutputStream().write(value);
  }

  private static int receive(Socket to) throws IOException {
    return to.getInputStream().read();
  }

  @Test
  void shouldRefuseConnectionsOnlyUntilTheModeChanges() throws Exception {
    onLoop(() -> proxy.setMode(Mode.REFUSE));
    TimeUnit.MILLISECONDS.sleep(50);
    assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
    onLoop(() -> proxy.setMode(Mode.FORWARD));
    // The address is bound by a later task of the loop.
    onLoop(() -> {});
    try (Socket caller = connect();
        Socket accepted = server.accept()) {
      send(caller, 1);
      assertThat(receive(accepted)).isEqualTo(1);
    }
  }

  @Test
  void shouldResetOnlyTheSelectedCallers() throws Exception {
    try (Socket selected = connect();
        Socket acceptedFirst = server.accept();
        Socket other = connect();
        Socket accepted = server.accept()) {
      int port = selected.getLocalPort();
      onLoop(() -> proxy.setMode(Mode.RESET, caller -> caller.getPort() == port));
      assertThatThrownBy(() -> receive(selected)).isInstanceOf(SocketException.class);
      assertThat(acceptedFirst.isConnected()).isTrue();
      send(other, 2);
      assertThat(receive(accepted)).isEqualTo(2);
    }
  }

  @Test
  void shouldDeliverTheRequestBeforeItResetsTheConnection() throws Exception {
    try (Socket caller = connect();
        Socket accepted = server.accept()) {
      onLoop(() -> proxy.resetConnections(true));
      send(caller, 3);
      assertThat(receive(accepted)).isEqualTo(3);
      assertThatThrownBy(() -> receive(caller)).isInstanceOf(SocketException.class);
    }
  }

  @Test
  void shouldKeepTheOrderOfAnswersWhenTheirDelayEnds() throws Exception {
    try (Socket caller = connect();
        Socket accepted = server.accept()) {
      onLoop(() -> proxy.delayAnswers(300));
      send(accepted, 4);
      TimeUnit.MILLISECONDS.sleep(100);
      onLoop(() -> proxy.setMode(Mode.FORWARD));
      send(accepted, 5);
      assertThat(receive(caller)).isEqualTo(4);
      assertThat(receive(caller)).isEqualTo(5);
    }
  }

  @Test
  void shouldForwardNothingOnSilentConnectionsAndShouldNotCloseThem() throws Exception {
    try (Socket silent = connect();
        Socket acceptedFirst = server.accept()) {
      onLoop(proxy::silenceConnections);
      send(silent, 6);
      silent.shutdownOutput();
      try (Socket caller = connect();
          Socket accepted = server.accept()) {
        send(caller, 7);
        assertThat(receive(accepted)).isEqualTo(7);
        acceptedFirst.setSoTimeout(50);
        assertThatThrownBy(() -> receive(acceptedFirst)).isInstanceOf(SocketTimeoutException.class);
      }
    }
  }

  @Test
  void shouldNeitherRefuseNorAcceptConnectionsWhileUnreachable() throws Exception {
    onLoop(() -> proxy.setMode(Mode.UNREACHABLE));
    try (SocketChannel waiting = SocketChannel.open()) {
      waiting.configureBlocking(false);
      assertThat(
              waiting.connect(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.first())))
          .isFalse();
      assertThatThrownBy(
              () -> {
                try (Socket caller = new Socket()) {
                  caller.connect(
                      new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.first()), 200);
                }
              })
          .isInstanceOf(SocketTimeoutException.class);
      onLoop(() -> proxy.setMode(Mode.FORWARD));
      waiting.configureBlocking(true);
      assertThat(waiting.finishConnect()).isTrue();
      try (Socket accepted = server.accept()) {
        send(waiting.socket(), 8);
        assertThat(receive(accepted)).isEqualTo(8);
      }
    }
  }

  @Test
  void shouldDeliverBytesOfOpenConnectionsAfterTheCutAlsoIfTheSenderHasClosed() throws Exception {
    try (Socket caller = connect();
        Socket accepted = server.accept()) {
      onLoop(() -> proxy.setMode(Mode.UNREACHABLE));
      send(caller, 9);
      caller.shutdownOutput();
      accepted.setSoTimeout(50);
      assertThatThrownBy(() -> receive(accepted)).isInstanceOf(SocketTimeoutException.class);
      accepted.setSoTimeout(0);
      onLoop(() -> proxy.setMode(Mode.FORWARD));
      assertThat(receive(accepted)).isEqualTo(9);
      assertThat(receive(accepted)).isEqualTo(-1);
    }
  }

  @Test
  void shouldCutOnlyTheCallersThatItIsTold() throws Exception {
    try (Socket cut = connect();
        Socket acceptedFirst = server.accept();
        Socket other = connect();
        Socket accepted = server.accept()) {
      onLoop(() -> proxy.cut(Map.of(cut.getLocalPort(), true, other.getLocalPort(), false)));
      send(cut, 10);
      send(other, 11);
      assertThat(receive(accepted)).isEqualTo(11);
      try (Socket unknown = connect()) {
        send(unknown, 12);
        onLoop(() -> proxy.cut(Map.of(cut.getLocalPort(), true, unknown.getLocalPort(), false)));
        try (Socket acceptedLast = server.accept()) {
          assertThat(receive(acceptedLast)).isEqualTo(12);
        }
      }
      onLoop(() -> proxy.setMode(Mode.FORWARD));
      assertThat(receive(acceptedFirst)).isEqualTo(10);
    }
  }
}
