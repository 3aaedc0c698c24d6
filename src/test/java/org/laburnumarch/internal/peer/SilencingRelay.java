package org.laburnumarch.internal.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Forwards bytes; on request, keeps all existing connections open but forwards nothing on them. */
final class SilencingRelay implements AutoCloseable {

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();

  private static final class Connection {
    private final Socket caller;
    private final Socket callee;
    private volatile boolean silent;

    Connection(Socket caller, Socket callee) {
      this.caller = caller;
      this.callee = callee;
    }
  }

  SilencingRelay(InetSocketAddress target) throws IOException {
    this.target = target;
    start(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void silenceExisting() {
    connections.forEach(connection -> connection.silent = true);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket caller = server.accept();
        Connection connection =
            new Connection(caller, new Socket(target.getAddress(), target.getPort()));
        connections.add(connection);
        start(() -> forward(connection, connection.caller, connection.callee));
        start(() -> forward(connection, connection.callee, connection.caller));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private static void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[8_192];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!connection.silent) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // The connection is closed.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.caller.close();
      connection.callee.close();
    }
  }
}
