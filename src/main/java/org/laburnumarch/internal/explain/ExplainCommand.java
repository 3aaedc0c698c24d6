package org.laburnumarch.internal.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.cli.Subcommand;

/** The subcommand {@code explain}: prints the timeline of a job from the daemons' logs. */
public final class ExplainCommand implements Subcommand {

  private final InputStream standardInput;

  /** Creates the command. */
  public ExplainCommand() {
    this(System.in);
  }

  ExplainCommand(InputStream standardInput) {
    this.standardInput = standardInput;
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      err.println(
          ResultCode.USAGE.number()
              + " USAGE: explain JOB-ID [LOG-FILE...]; without files, logs are read from standard input");
      return ResultCode.USAGE.outcome().exitStatus();
    }
    try {
      Explanation explanation =
          new Explanation(args[0], readLines(Arrays.asList(args).subList(1, args.length)));
      explanation.timeline().forEach(out::println);
      explanation.conclusions().forEach(out::println);
      return explanation.isKnown()
          ? ResultCode.OK.outcome().exitStatus()
          : ResultCode.OUTCOME_UNKNOWN.outcome().exitStatus();
    } catch (IOException e) {
      err.println("explain: a log cannot be read: " + e);
      return ResultCode.USAGE.outcome().exitStatus();
    }
  }

  private List<LogLine> readLines(List<String> files) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    if (files.isEmpty()) {
      addLines("-", standardInput, lines);
    }
    for (String file : files) {
      try (InputStream in = Files.newInputStream(Path.of(file))) {
        addLines(Path.of(file).getFileName().toString(), in, lines);
      }
    }
    return lines;
  }

  private static void addLines(String source, InputStream in, List<LogLine> lines)
      throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      LogLine.parse(source, text).ifPresent(lines::add);
    }
  }
}
