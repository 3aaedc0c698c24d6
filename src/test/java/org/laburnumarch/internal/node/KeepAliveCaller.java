package org.laburnumarch.internal.node;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Sends one request after the other, on one connection until the daemon closes it, and on new ones
 * until the daemon refuses them.
 */
final class KeepAliveCaller implements Runnable {

  /** Receives what the caller sees. */
  interface Listener {

    void onAnswered(int status);

    /** The connection has ended without a complete answer to the request. */
    void onUnanswered(long waitedMs);
  }

  private static final int READ_TIMEOUT_MS = 20_000;
  private static final String CONTENT_LENGTH = "content-length:";

  private final InetSocketAddress daemon;
  private final byte[] request;
  private final Listener listener;

  KeepAliveCaller(InetSocketAddress daemon, String request, Listener listener) {
    this.daemon = daemon;
    this.request = request.getBytes(StandardCharsets.ISO_8859_1);
    this.listener = listener;
  }

  @Override
  public void run() {
    boolean isDaemonListening = true;
    while (isDaemonListening) {
      isDaemonListening = useConnection();
    }
  }

  /** Returns whether the daemon has accepted the connection. */
  private boolean useConnection() {
    try (Socket socket = new Socket()) {
      socket.connect(daemon);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      boolean isOpen = true;
      while (isOpen) {
        isOpen = sendRequest(socket, in);
      }
      return true;
    } catch (ConnectException e) {
      return false;
    } catch (IOException e) {
      // The daemon has closed the connection between two requests.
      return true;
    }
  }

  private boolean sendRequest(Socket socket, BufferedReader in) throws IOException {
    socket.getOutputStream().write(request);
    long sentAtNs = System.nanoTime();
    try {
      return readResponse(in);
    } catch (IOException e) {
      listener.onUnanswered(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNs));
      return false;
    }
  }

  /** Returns whether the connection stays open. */
  private boolean readResponse(BufferedReader in) throws IOException {
    String statusLine = readLine(in);
    boolean isOpen = true;
    int bodyBytes = 0;
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      String header = line.toLowerCase(Locale.ROOT);
      isOpen &= !header.equals("connection: close");
      if (header.startsWith(CONTENT_LENGTH)) {
        bodyBytes = Integer.parseInt(header.substring(CONTENT_LENGTH.length()).trim());
      }
    }
    for (int i = 0; i < bodyBytes; i++) {
      if (in.read() < 0) {
        throw new EOFException();
      }
    }
    listener.onAnswered(Integer.parseInt(statusLine.split(" ", 3)[1]));
    return isOpen;
  }

  private static String readLine(BufferedReader in) throws IOException {
    String line = in.readLine();
    if (line == null) {
      throw new EOFException();
    }
    return line;
  }
}
