package org.laburnumarch.internal.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Reads the first byte of a request, writes a fixed response and closes or resets the connection.
 */
final class RawServer implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final String response;
  private final boolean isResetting;

  /**
   * Starts the server.
   *
   * @param response text to write; may be empty
   * @param isResetting whether connections are reset instead of closed
   */
  RawServer(String response, boolean isResetting) throws IOException {
    this.response = response;
    this.isResetting = isResetting;
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
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        }
        if (isResetting) {
          socket.setSoLinger(true, 0);
        }
      } catch (IOException e) {
        // The client has closed the connection, or the server is closed.
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
