package org.laburnumarch.internal.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Forwards bytes between callers and one target, with faults per caller.
 *
 * <p>A caller is named after the instance whose name occurs in the first bytes that it sends;
 * daemons send it in their handshake. If several names occur, the first in the given order counts.
 * Any other caller has the name {@link #UNNAMED}.
 */
final class Relay implements AutoCloseable {
  static final String UNNAMED = "";

  /** What happens to a caller's connections. */
  enum Mode {
    FORWARD(true, true),
    /** Connections are closed, and so are new ones. */
    CUT(false, false),
    /** Connections stay open, but nothing is forwarded. */
    SILENT(false, false),
    /** Bytes to the target are forwarded, bytes to the caller are not. */
    NO_RESPONSES(true, false);

    private final boolean isToTarget;
    private final boolean isToCaller;

    Mode(boolean isToTarget, boolean isToCaller) {
      this.isToTarget = isToTarget;
      this.isToCaller = isToCaller;
    }
  }

  private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Iterable<String> callerNames;
  private final Map<String, Mode> modes = new ConcurrentHashMap<>();
  private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();
  private final AtomicLong forwardedBytes = new AtomicLong();

  private static final class Connection {
    private final Socket caller;
    private final Socket callee;
    private volatile String name = UNNAMED;
    private volatile boolean isSilent;

    Connection(Socket caller, Socket callee) {
      this.caller = caller;
      this.callee = callee;
    }

    void close() {
      closeQuietly(caller);
      closeQuietly(callee);
    }
  }

  Relay(InetSocketAddress target, Iterable<String> callerNames) throws IOException {
    this.target = target;
    this.callerNames = callerNames;
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns the number of bytes forwarded in both directions. */
  long forwardedBytes() {
    return forwardedBytes.get();
  }

  /** Sets what happens to the connections of a caller. */
  void set(String caller, Mode mode) {
    modes.put(caller, mode);
    if (mode != Mode.FORWARD) {
      connections.stream()
          .filter(connection -> connection.name.equals(caller))
          .forEach(
              mode == Mode.CUT
                  ? Connection::close
                  : connection -> connection.isSilent = mode == Mode.SILENT);
    }
  }

  /** Makes the connections that are open now silent permanently; new ones are not affected. */
  void silenceExisting() {
    connections.forEach(connection -> connection.isSilent = true);
  }

  /**
   * Removes all faults. If there were any, closes all connections, since bytes may be lost on them.
   */
  void heal() {
    boolean isFaulty = modes.values().stream().anyMatch(mode -> mode != Mode.FORWARD);
    modes.clear();
    if (isFaulty) {
      connections.forEach(Connection::close);
    }
  }

  private Mode mode(Connection connection) {
    return connection.isSilent ? Mode.SILENT : modes.getOrDefault(connection.name, Mode.FORWARD);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        start(() -> connect(caller));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket caller) {
    try {
      byte[] buffer = new byte[65_536];
      int count = caller.getInputStream().read(buffer);
      if (count < 0) {
        closeQuietly(caller);
        return;
      }
      byte[] first = Arrays.copyOf(buffer, count);
      Connection connection = new Connection(caller, new Socket());
      connection.name = callerName(first);
      if (mode(connection) == Mode.CUT) {
        connection.close();
        return;
      }
      connection.callee.connect(target, 1_000);
      connections.add(connection);
      start(() -> forward(connection, connection.callee, connection.caller, false, new byte[0]));
      forward(connection, connection.caller, connection.callee, true, first);
    } catch (IOException e) {
      closeQuietly(caller);
    }
  }

  private String callerName(byte[] first) {
    String text = new String(first, StandardCharsets.ISO_8859_1);
    for (String name : callerNames) {
      if (text.contains(name)) {
        return name;
      }
    }
    return UNNAMED;
  }

  private void forward(
      Connection connection, Socket from, Socket to, boolean isToTarget, byte[] first) {
    byte[] buffer = new byte[65_536];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      write(connection, out, isToTarget, first, first.length);
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        write(connection, out, isToTarget, buffer, count);
      }
    } catch (IOException e) {
      // The connection is closed.
    }
    connection.close();
    connections.remove(connection);
  }

  private void write(
      Connection connection, OutputStream out, boolean isToTarget, byte[] bytes, int count)
      throws IOException {
    Mode mode = mode(connection);
    if (isToTarget ? mode.isToTarget : mode.isToCaller) {
      out.write(bytes, 0, count);
      forwardedBytes.addAndGet(count);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing to do if closing fails.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      // Nothing to do if closing fails.
    }
    connections.forEach(Connection::close);
  }
}
