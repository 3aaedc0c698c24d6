package org.laburnumarch.internal.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.function.Supplier;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Parses the arguments into the options of a command and runs it. */
final class JCommanderSubcommand implements Subcommand {

  private final String name;
  private final Supplier<Command> newCommand;
  private final CommandContext.Clock clock;

  JCommanderSubcommand(String name, Supplier<Command> newCommand, CommandContext.Clock clock) {
    this.name = name;
    this.newCommand = newCommand;
    this.clock = clock;
  }

  String description() {
    return newCommand.get().getClass().getAnnotation(Parameters.class).commandDescription();
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    Command command = newCommand.get();
    JCommander parser =
        JCommander.newBuilder()
            .programName("laburnumarch " + name)
            .addObject(command)
            // JCommander would otherwise replace an argument @FILE by the content of that file.
            .expandAtSign(false)
            .build();
    if (Arrays.asList(args).contains("--help")) {
      out.print(help(parser, command));
      return ResultCode.OK.outcome().exitStatus();
    }
    return parseAndRun(parser, command, args, new CommandContext(out, err, clock))
        .outcome()
        .exitStatus();
  }

  private ResultCode parseAndRun(
      JCommander parser, Command command, String[] args, CommandContext context) {
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      String message = e.getMessage() + "; see laburnumarch " + name + " --help";
      return RemoteCommand.refuse(context, Refusal.of(ResultCode.USAGE, message));
    }
    return command.run(context);
  }

  private String help(JCommander parser, Command command) {
    StringBuilder text = new StringBuilder(description()).append(".\n\n");
    parser.getUsageFormatter().usage(text);
    return text.append("\nExample:\n  laburnumarch ").append(command.example() + "\n").toString();
  }
}
