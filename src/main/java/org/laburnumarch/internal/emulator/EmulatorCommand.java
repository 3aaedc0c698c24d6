package org.laburnumarch.internal.emulator;

import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.laburnumarch.ResultCode;
import org.tinylog.Logger;

/** The subcommands of {@code laburnumarch emulator}, by name. */
public enum EmulatorCommand {
  /** In-memory log. */
  LOG("log", new LogCommand()),
  /** Instance list with pool control. */
  INSTANCES("instances", new InstancesCommand()),
  /** One or more minions. */
  MINION("minion", new MinionCommand()),
  /** Bounded load generator. */
  LOAD("load", new LoadCommand()),
  /** Prints the totals of minions as one JSON line. */
  STATS("stats", new StatsCommand()),
  /** Sends a request to stand-ins or entries and prints the responses. */
  CALL("call", new CallCommand());

  private final String commandName;
  private final EmulatorProgram program;

  EmulatorCommand(String commandName, EmulatorProgram program) {
    this.commandName = commandName;
    this.program = program;
  }

  /** Returns the name on the command line. */
  public String commandName() {
    return commandName;
  }

  /**
   * Runs the subcommand that the first argument names.
   *
   * @param args name of the subcommand and its own arguments
   * @param out results
   * @param err explanations of failures
   * @return the exit status; 0 on success
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    for (EmulatorCommand command : values()) {
      if (args.length > 0 && command.commandName.equals(args[0])) {
        return command.start(Arrays.copyOfRange(args, 1, args.length), out, err);
      }
    }
    String names =
        Arrays.stream(values()).map(EmulatorCommand::commandName).collect(Collectors.joining(", "));
    err.println("emulator: give one of the subcommands " + names);
    return ResultCode.USAGE.outcome().exitStatus();
  }

  private int start(String[] args, PrintStream out, PrintStream err) {
    try {
      return program.run(args, out, err);
    } catch (ParameterException | IllegalArgumentException e) {
      err.println("emulator " + commandName + ": " + e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    } catch (Exception e) {
      Logger.error(e, "emulator: {} failed", commandName);
      err.println("emulator " + commandName + ": failed: " + e);
      return ResultCode.INTERNAL_ERROR.outcome().exitStatus();
    }
  }
}
