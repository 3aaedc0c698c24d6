package org.laburnumarch.internal.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;

/**
 * A closed-loop caller with a connection of its own.
 *
 * <p>It implements only the necessary part of HTTP on a plain socket, so that it uses little
 * processor time compared with what is measured.
 */
final class BenchCaller implements Runnable {
  private static final int TIMEOUT_MS = 5_000;
  private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

  private final int port;
  private final byte[] request;
  private final AtomicBoolean isStopped;
  private final Histogram latencies = new Histogram(60_000_000_000L, 3);
  private final byte[] buffer = new byte[8_192];
  private long errorCount;

  BenchCaller(int port, String path, String key, AtomicBoolean isStopped) {
    this.port = port;
    this.isStopped = isStopped;
    String head =
        "GET " + path + " HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer " + key + "\r\n\r\n";
    this.request = head.getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the latencies in nanoseconds; read only after the caller has ended. */
  Histogram latencies() {
    return latencies;
  }

  /**
   * Returns how many responses were not "200 OK", plus one if the connection failed; read only
   * after the caller has ended.
   */
  long errorCount() {
    return errorCount;
  }

  @Override
  public void run() {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MS);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MS);
      while (!isStopped.get()) {
        long startNanos = System.nanoTime();
        boolean isOk = exchange(socket.getOutputStream(), socket.getInputStream());
        latencies.recordValue(System.nanoTime() - startNanos);
        errorCount += isOk ? 0 : 1;
      }
    } catch (IOException e) {
      errorCount++;
    }
  }

  private boolean exchange(OutputStream out, InputStream in) throws IOException {
    out.write(request);
    int size = 0;
    int headEnd = -1;
    while (headEnd < 0) {
      size += readMore(in, size);
      headEnd = indexOfHeadEnd(size);
    }
    String head = new String(buffer, 0, headEnd, StandardCharsets.US_ASCII);
    int totalSize = headEnd + HEAD_END.length + contentLength(head);
    while (size < totalSize) {
      size += readMore(in, size);
    }
    return head.startsWith("HTTP/1.1 200");
  }

  private int readMore(InputStream in, int offset) throws IOException {
    int count = in.read(buffer, offset, buffer.length - offset);
    if (count <= 0) {
      throw new IOException("the connection ended within a response");
    }
    return count;
  }

  private int indexOfHeadEnd(int size) {
    for (int i = 0; i + HEAD_END.length <= size; i++) {
      if (buffer[i] == '\r'
          && buffer[i + 1] == '\n'
          && buffer[i + 2] == '\r'
          && buffer[i + 3] == '\n') {
        return i;
      }
    }
    return -1;
  }

  private static int contentLength(String head) throws IOException {
    for (String line : head.split("\r\n", -1)) {
      if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
        return Integer.parseInt(line.substring(15).trim());
      }
    }
    throw new IOException("a response has no content-length header");
  }
}
