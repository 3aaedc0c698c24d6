package org.laburnumarch.internal.soak;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.Laburnumarch;
import org.laburnumarch.internal.platform.NodeSettings;
import org.tinylog.Logger;

/** One daemon as a process of its own, which signals reach. */
final class DaemonProcess implements AutoCloseable {

  private static final long END_TIMEOUT_S = 10;

  private final String name;
  private final Path settings;
  private final File output;
  private final InetSocketAddress callers;
  private Process process;
  private boolean isPaused;

  DaemonProcess(String name, Path settings, Path output, InetSocketAddress callers) {
    this.name = name;
    this.settings = settings;
    this.output = output.toFile();
    this.callers = callers;
  }

  String name() {
    return name;
  }

  /** Returns where callers reach the daemon. */
  InetSocketAddress callers() {
    return callers;
  }

  /** Starts the process if none runs. */
  void start() throws IOException {
    if (process != null && process.isAlive()) {
      return;
    }
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Laburnumarch.class.getName(),
                "node"));
    builder.environment().put(NodeSettings.PATH_VARIABLE, settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    process = builder.start();
    isPaused = false;
  }

  boolean isRunning() {
    return process != null && process.isAlive() && !isPaused;
  }

  /** Sends SIGKILL. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Sends SIGTERM. */
  void terminate() {
    signal("TERM");
  }

  /** Sends SIGHUP. */
  void hangUp() {
    signal("HUP");
  }

  /** Sends SIGSTOP. */
  void pause() {
    isPaused = true;
    signal("STOP");
  }

  /** Sends SIGCONT. */
  void resume() {
    isPaused = false;
    signal("CONT");
  }

  private void signal(String signal) {
    if (process == null || !process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-s", signal, Long.toString(process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .waitFor(1, TimeUnit.SECONDS);
    } catch (IOException e) {
      Logger.warn("soak: signal {} to {} failed: {}", signal, name, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process and waits until it is gone. */
  @Override
  public void close() {
    if (process == null) {
      return;
    }
    resume();
    process.destroyForcibly();
    try {
      if (!process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)) {
        Logger.warn("soak: {} does not end", name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
