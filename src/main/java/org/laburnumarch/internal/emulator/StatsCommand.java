package org.laburnumarch.internal.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import org.laburnumarch.ResultCode;

/** Prints the totals of several minions as one JSON line. */
@Immutable
final class StatsCommand implements EmulatorProgram {

  /** Options of this subcommand. */
  static final class Options {

    @Parameter(names = "--minions", description = "host:from-to,...", required = true)
    private String minions = "";
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    Options options = new Options();
    JCommander.newBuilder().programName("emulator stats").addObject(options).build().parse(args);
    MinionTotals totals = MinionTotals.collect(Addresses.parseList(options.minions), false);
    ObjectNode summary = JsonNodeFactory.instance.objectNode();
    totals.write(summary);
    out.println(summary.path("minions"));
    return totals.areComplete() ? 0 : ResultCode.ENTRY_UNREACHABLE.outcome().exitStatus();
  }
}
