package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.cli.Subcommand;
import org.laburnumarch.internal.daemon.TerminationSignals;
import org.laburnumarch.internal.platform.MalformedMessageException;
import org.laburnumarch.internal.platform.NodeSettings;
import org.tinylog.Logger;

/** The subcommand {@code node}: runs a daemon on the users' platform until a signal stops it. */
public final class NodeCommand implements Subcommand {

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    String path =
        args.length > 0 ? args[0] : System.getenv().getOrDefault(NodeSettings.PATH_VARIABLE, "");
    if (path.isEmpty()) {
      err.println(
          "node: no settings file is given; pass its path as the argument or in "
              + NodeSettings.PATH_VARIABLE);
      return ResultCode.USAGE.outcome().exitStatus();
    }
    try {
      return runUntilSignal(NodeSettings.read(Path.of(path)), Path.of(path));
    } catch (IOException | MalformedMessageException e) {
      err.println("node: the settings in " + path + " cannot be used: " + e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
  }

  /** Logs whether the settings file has changed. Changes are not applied: they need a restart. */
  private static void checkSettings(NodeSettings current, Path file) {
    try {
      boolean isSame = NodeSettings.read(file).equals(current);
      Logger.info("node: event=reload outcome={}", isSame ? "unchanged" : "needs-restart");
    } catch (IOException | MalformedMessageException e) {
      Logger.warn("node: event=reload outcome=unusable cause=\"{}\"", e.getMessage());
    }
  }

  private static int runUntilSignal(NodeSettings settings, Path file) {
    try (BoundedOutput output = BoundedOutput.install()) {
      CompletableFuture<Long> signal = TerminationSignals.firstSignalOfBoundedStop();
      TerminationSignals.onHangup(() -> checkSettings(settings, file));
      return runUntil(signal, settings, output::totalDroppedLines);
    }
  }

  /**
   * Runs a daemon until a signal has been received.
   *
   * @param signal completes with the {@link System#nanoTime} of the signal
   * @return the exit status
   */
  static int runUntil(
      CompletableFuture<Long> signal, NodeSettings settings, LongSupplier droppedLogLines) {
    if (signal.isDone()) {
      Logger.info("node: event=stopped-before-start");
      return ResultCode.OK.outcome().exitStatus();
    }
    try (Node node = new Node(settings, droppedLogLines)) {
      long signalledAtNs = signal.get();
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNs);
      node.stop(signalledAtNs)
          .toCompletableFuture()
          .get(settings.shutdownTimeoutMs() - elapsedMs, TimeUnit.MILLISECONDS);
      return ResultCode.OK.outcome().exitStatus();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    } catch (TimeoutException e) {
      Logger.warn("node: event=stop-timeout");
      return ResultCode.OUTCOME_UNKNOWN.outcome().exitStatus();
    } catch (ExecutionException e) {
      Logger.error(e, "node: event=failed");
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    } catch (Exception e) {
      Logger.error(e, "node: event=not-started");
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    }
  }
}
