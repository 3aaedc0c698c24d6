package org.laburnumarch.internal.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Finds the command that the arguments start with and runs it. */
public final class CommandLine {

  private static final List<String> HELP = List.of("help", "--help", "-h");
  private static final int MAX_WORDS = 2;

  private final Subcommands subcommands;

  /** Creates a command line with the given commands. */
  public CommandLine(Subcommands subcommands) {
    this.subcommands = subcommands;
  }

  /** Runs one command and returns the exit status of the process. */
  public int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0 || HELP.contains(args[0])) {
      printCommands(out);
      return ResultCode.OK.outcome().exitStatus();
    }
    for (int wordCount = Math.min(MAX_WORDS, args.length); wordCount > 0; wordCount--) {
      String name = String.join(" ", Arrays.copyOf(args, wordCount));
      Optional<Subcommands.Entry> found = subcommands.find(name);
      if (found.isPresent()) {
        String[] commandArgs = Arrays.copyOfRange(args, wordCount, args.length);
        return found.get().subcommand().run(commandArgs, out, err);
      }
    }
    return unknown(args, err);
  }

  private int unknown(String[] args, PrintStream err) {
    List<String> group =
        subcommands.all().keySet().stream().filter(name -> name.startsWith(args[0] + " ")).toList();
    String remedy = group.isEmpty() ? "see laburnumarch help" : "use " + String.join(", ", group);
    String name = group.isEmpty() || args.length == 1 ? args[0] : args[0] + " " + args[1];
    Refusal refusal =
        Refusal.of(ResultCode.USAGE, "there is no command \"" + name + "\"; " + remedy);
    Faults.print(err, ClientResponse.of(refusal));
    return refusal.code().outcome().exitStatus();
  }

  private void printCommands(PrintStream out) {
    out.println("laburnumarch COMMAND [OPTIONS]; laburnumarch COMMAND --help shows an example.");
    out.println();
    Table table = Table.of("COMMAND", "WHAT IT DOES");
    subcommands.all().forEach((name, entry) -> table.row(name, entry.description()));
    table.print(out);
    out.println();
    out.println("Exit status: 0 done, 2 invalid input, 3 not run, 4 outcome unknown, 5 breach.");
  }
}
