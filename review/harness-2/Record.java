package review;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with times in seconds since the start of the case. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startedAtNanos = System.nanoTime();

  Record(Path file) throws Exception {
    this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long nowMs() {
    return (System.nanoTime() - startedAtNanos) / 1_000_000;
  }

  synchronized void add(String format, Object... arguments) {
    out.println(
        String.format(Locale.ROOT, "%8.3f ", nowMs() / 1000.0)
            + String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
