package org.laburnumarch.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads the first bytes of a request, writes a fixed text and ends the connection. */
final class RawServer implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final String answer;
  private final boolean resetting;

  /**
   * Starts the server.
   *
   * @param answer what to write; may be empty
   * @param resetting whether connections are reset instead of closed
   */
  RawServer(String answer, boolean resetting) throws IOException {
    this.answer = answer;
    this.resetting = resetting;
    Thread thread = new Thread(this::acceptAll, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        int first = socket.getInputStream().read();
        if (first >= 0) {
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        }
        if (resetting) {
          socket.setSoLinger(true, 0);
        }
      } catch (IOException e) {
        // The caller has gone, or the server is closed.
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
