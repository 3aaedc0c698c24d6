package org.laburnumarch.internal.emulator;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.Outcome;

/** Runs a bounded load and prints a summary as one JSON line. */
@Immutable
final class LoadCommand implements EmulatorProgram {

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    LoadOptions options = new LoadOptions();
    JCommander.newBuilder().programName("emulator load").addObject(options).build().parse(args);
    ObjectNode summary = JsonNodeFactory.instance.objectNode();
    int violations = run(options, summary);
    out.println(summary);
    return violations == 0 ? 0 : Outcome.BREACH.exitStatus();
  }

  /** Runs the load, writes the summary and returns the number of violations. */
  static int run(LoadOptions options, ObjectNode summary) throws Exception {
    LoadResults results;
    try (LoadRun run = new LoadRun(options)) {
      results = run.run();
    }
    waitForLateRuns(options);
    MinionTotals totals = MinionTotals.collect(options.minionAddresses(), true);
    summary.put("seed", options.seed);
    int violations = results.summarise(totals.runs(), totals.areComplete(), summary);
    totals.write(summary);
    return violations;
  }

  private static void waitForLateRuns(LoadOptions options) throws InterruptedException {
    boolean ignored = new CountDownLatch(1).await(options.settleMs, TimeUnit.MILLISECONDS);
  }
}
