package org.laburnumarch;

import org.laburnumarch.internal.cli.CommandLine;
import org.laburnumarch.internal.cli.Subcommands;
import org.laburnumarch.internal.daemon.DaemonCommand;
import org.laburnumarch.internal.emulator.EmulatorCommand;
import org.laburnumarch.internal.experiment.ExperimentCommand;
import org.laburnumarch.internal.explain.ExplainCommand;
import org.laburnumarch.internal.node.NodeCommand;
import org.laburnumarch.internal.rehearsal.RehearsalCommand;
import org.laburnumarch.internal.soak.SoakCommand;

/** Entry point of the executable. */
public final class Laburnumarch {

  private Laburnumarch() {}

  /** Runs one subcommand and ends the process with the exit status of its result. */
  public static void main(String[] args) {
    System.exit(new CommandLine(subcommands()).run(args, System.out, System.err));
  }

  /** Returns all subcommands of the executable. */
  static Subcommands subcommands() {
    return Subcommands.operatorCommands()
        .register("daemon", "Run one daemon until a signal stops it", new DaemonCommand())
        .register("node", "Run one daemon on the users' platform", new NodeCommand())
        .register("explain", "Reconstruct the history of a job from logs", new ExplainCommand())
        .register(
            "rehearsal",
            "Run jobs on two daemons with a simulated platform",
            new RehearsalCommand())
        .register("soak", "Run daemons under random faults and check invariants", new SoakCommand())
        .register("experiment", "Measure policies against baselines", new ExperimentCommand()::run)
        .register(
            "emulator",
            "Run stand-ins of the platform and the load generator",
            EmulatorCommand::run);
  }
}
