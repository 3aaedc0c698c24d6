package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that block because nobody reads the log output. */
class BoundedOutputTest {

  private static PrintStream print(BoundedOutput output, int lines) {
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    for (int i = 0; i < lines; i++) {
      out.println("line");
    }
    return out;
  }

  @Test
  void shouldDropLinesInsteadOfBlockingWhenNobodyReads() {
    BoundedOutput output = new BoundedOutput();
    print(output, BoundedOutput.MAX_QUEUED_LINES + 50);
    assertThat(output.unreportedDroppedLines()).isEqualTo(50);
  }

  @Test
  void shouldReportHowManyLinesWereDropped() {
    BoundedOutput output = new BoundedOutput();
    print(output, BoundedOutput.MAX_QUEUED_LINES + 3);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    PrintStream target = new PrintStream(read, true, StandardCharsets.UTF_8);
    Thread reader = new Thread(() -> output.drainTo(target));
    reader.setDaemon(true);
    reader.start();
    Awaitility.await()
        .atMost(Duration.ofSeconds(20))
        .until(() -> read.toString(StandardCharsets.UTF_8).contains("event=dropped lines=3"));
    reader.interrupt();
  }

  /** Guards against a daemon whose log ends before the lines that say how it stopped. */
  @Test
  void shouldWriteTheQueuedLinesBeforeItIsClosed() {
    BoundedOutput output = new BoundedOutput();
    print(output, BoundedOutput.MAX_QUEUED_LINES);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    PrintStream target = new PrintStream(read, false, StandardCharsets.UTF_8);
    Thread writer = new Thread(() -> output.drainTo(target));
    writer.setDaemon(true);
    writer.start();
    output.close();
    assertThat(read.toString(StandardCharsets.UTF_8).lines())
        .hasSize(BoundedOutput.MAX_QUEUED_LINES);
    writer.interrupt();
  }

  /** Guards against a daemon that does not end because nobody reads its log. */
  @Test
  @Timeout(20)
  void shouldCloseAlthoughNobodyReads() {
    BoundedOutput output = new BoundedOutput();
    print(output, BoundedOutput.MAX_QUEUED_LINES);
    output.close();
    assertThat(output.totalDroppedLines()).isZero();
  }
}
