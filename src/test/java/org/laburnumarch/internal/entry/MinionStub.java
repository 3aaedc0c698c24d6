package org.laburnumarch.internal.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A minion that sends raw bytes chosen by a test; it has one thread for each connection. */
final class MinionStub implements AutoCloseable {

  /** Responds to one request; may write, wait or close as the test needs. */
  @FunctionalInterface
  interface ResponseScript {
    void respond(Received request, OutputStream out, Socket socket) throws Exception;
  }

  /** A request as received; connections and the requests on each are numbered from 1. */
  record Received(
      int connection,
      int indexOnConnection,
      String line,
      Map<String, String> headers,
      String body) {}

  private final ServerSocket server;
  private final ResponseScript script;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  MinionStub(ResponseScript script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    startDaemonThread(this::accept);
  }

  static ResponseScript respondHello() {
    return (request, out, socket) -> out.write(ok("hello"));
  }

  static byte[] ok(String body) {
    return raw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  static byte[] raw(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  List<Received> received() {
    return received;
  }

  int connectionCount() {
    return sockets.size();
  }

  /** Returns whether the entry has closed a connection; waits until it sends or closes. */
  boolean isClosedByPeer(int connection) {
    try {
      Socket socket = sockets.get(connection - 1);
      return socket.isClosed() || socket.getInputStream().read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        int number = sockets.size();
        startDaemonThread(() -> serve(socket, number));
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  private void serve(Socket socket, int number) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      int index = 0;
      for (Received next = read(in, number, ++index); next != null; ) {
        received.add(next);
        script.respond(next, socket.getOutputStream(), socket);
        socket.getOutputStream().flush();
        next = socket.isClosed() ? null : read(in, number, ++index);
      }
    } catch (Exception e) {
      // The connection was closed, which ends its thread.
    }
  }

  private static Received read(BufferedReader in, int number, int index) throws IOException {
    String line = in.readLine();
    if (line == null) {
      return null;
    }
    List<String> lines = new ArrayList<>();
    for (String next = in.readLine(); next != null && !next.isEmpty(); next = in.readLine()) {
      lines.add(next);
    }
    Map<String, String> headers = new ConcurrentHashMap<>();
    for (String header : lines) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    char[] body = new char[length];
    for (int read = 0; read < length; ) {
      int count = in.read(body, read, length - read);
      if (count < 0) {
        throw new IOException("closed in a body");
      }
      read += count;
    }
    return new Received(number, index, line, headers, new String(body));
  }

  private static void startDaemonThread(Runnable work) {
    Thread thread = new Thread(work, "minion-stub");
    thread.setDaemon(true);
    thread.start();
  }
}
