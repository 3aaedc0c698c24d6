package org.laburnumarch.internal.node;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Standard output that never makes its writer wait. Lines go through a bounded queue to a thread of
 * their own; when the queue is full they are dropped and counted, and the count is written as soon
 * as there is room.
 */
final class BoundedOutput extends OutputStream {

  /** Lines that may wait; about half a megabyte. */
  static final int MAX_WAITING_LINES = 4_000;

  private final BlockingQueue<byte[]> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Puts a bounded queue before standard output. Call it before the first log line. */
  static BoundedOutput install() {
    BoundedOutput output = new BoundedOutput();
    PrintStream target = System.out;
    Thread writer = new Thread(() -> output.drainTo(target), "log-writer");
    writer.setDaemon(true);
    writer.start();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    return output;
  }

  @Override
  public synchronized void write(int value) {
    line.write(value);
    if (value == '\n') {
      endLine();
    }
  }

  @Override
  public synchronized void write(byte[] bytes, int offset, int length) {
    line.write(bytes, offset, length);
    if (length > 0 && bytes[offset + length - 1] == '\n') {
      endLine();
    }
  }

  private void endLine() {
    if (!waiting.offer(line.toByteArray())) {
      dropped.incrementAndGet();
      lost.incrementAndGet();
    }
    line.reset();
  }

  /** Returns the number of lines that were dropped since the start. */
  long lostLines() {
    return lost.get();
  }

  /** Returns the number of lines that were dropped and not reported yet. */
  long droppedLines() {
    return dropped.get();
  }

  /** Writes lines to the target until the thread is interrupted. */
  void drainTo(PrintStream target) {
    try {
      while (true) {
        byte[] next = waiting.take();
        target.write(next, 0, next.length);
        if (waiting.isEmpty()) {
          target.flush();
        }
        long unreported = dropped.getAndSet(0);
        if (unreported > 0) {
          target.println("log: event=dropped lines=" + unreported);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
