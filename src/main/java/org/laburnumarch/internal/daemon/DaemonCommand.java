package org.laburnumarch.internal.daemon;

import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.cli.Subcommand;
import org.laburnumarch.internal.settings.DaemonSettings;
import org.tinylog.Logger;

/** The subcommand {@code daemon --settings FILE}: runs until a signal stops it. */
public final class DaemonCommand implements Subcommand {

  /** Margin beyond the shutdown bound after which the process exits even if work remains. */
  private static final long STOP_MARGIN_MS = 2_000;

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    return DaemonArguments.load(args, err)
        .map(this::runUntilSignal)
        .getOrElse(ResultCode.USAGE.outcome().exitStatus());
  }

  private int runUntilSignal(DaemonSettings settings) {
    CompletableFuture<Void> signal = TerminationSignals.firstSignal();
    try (Daemon daemon = Daemon.start(settings)) {
      signal.get();
      boolean isClean = awaitStop(daemon, settings);
      Logger.info("daemon: Stopped{}.", isClean ? "" : " with work remaining");
      return isClean
          ? ResultCode.OK.outcome().exitStatus()
          : ResultCode.OUTCOME_UNKNOWN.outcome().exitStatus();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    } catch (Exception e) {
      Logger.error(
          e,
          "daemon: Ended by an error; if the cause names an address or a file, correct the settings.");
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    }
  }

  private static boolean awaitStop(Daemon daemon, DaemonSettings settings)
      throws InterruptedException, ExecutionException {
    try {
      return daemon
          .stop()
          .toCompletableFuture()
          .get(settings.shutdownTimeoutMs() + STOP_MARGIN_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return false;
    }
  }
}
