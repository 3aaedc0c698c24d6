package org.laburnumarch.internal.node;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A standard output that never blocks its callers. Lines pass through a bounded queue to a writer
 * thread. When the queue is full, lines are dropped and counted, and the count is written after the
 * next line that gets through.
 */
final class BoundedOutput extends OutputStream {

  /** Longest time that {@link #close} waits for the writer thread. */
  private static final long CLOSE_TIMEOUT_MS = 100;

  /** Entry of the queue behind the last line. */
  private static final byte[] END = new byte[0];

  /** Capacity of the queue; about half a megabyte. */
  static final int MAX_QUEUED_LINES = 4_000;

  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong unreportedDrops = new AtomicLong();
  private final AtomicLong totalDrops = new AtomicLong();
  private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();
  private final CountDownLatch written = new CountDownLatch(1);

  /** Replaces {@link System#out} by a bounded output. Must be called before the first log line. */
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
    currentLine.write(value);
    if (value == '\n') {
      endLine();
    }
  }

  @Override
  public synchronized void write(byte[] bytes, int offset, int length) {
    currentLine.write(bytes, offset, length);
    if (length > 0 && bytes[offset + length - 1] == '\n') {
      endLine();
    }
  }

  private void endLine() {
    if (!queue.offer(currentLine.toByteArray())) {
      unreportedDrops.incrementAndGet();
      totalDrops.incrementAndGet();
    }
    currentLine.reset();
  }

  /** Returns the number of lines dropped since the start. */
  long totalDroppedLines() {
    return totalDrops.get();
  }

  /** Returns the number of dropped lines that have not been reported in the output yet. */
  long unreportedDroppedLines() {
    return unreportedDrops.get();
  }

  /** Writes lines to the target until the thread is interrupted. */
  void drainTo(PrintStream target) {
    try {
      while (true) {
        byte[] next = queue.take();
        target.write(next, 0, next.length);
        if (queue.isEmpty()) {
          target.flush();
        }
        if (next == END) {
          written.countDown();
        }
        long unreported = unreportedDrops.getAndSet(0);
        if (unreported > 0) {
          target.println("log: event=dropped lines=" + unreported);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a limited time until all lines have been written; a process may end after that. */
  @Override
  public void close() {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
    try {
      if (queue.offer(END, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        boolean unused = written.await(deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
