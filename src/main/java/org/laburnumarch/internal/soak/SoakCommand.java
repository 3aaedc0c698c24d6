package org.laburnumarch.internal.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.cli.Subcommand;
import org.tinylog.Logger;

/**
 * The subcommand {@code soak}: runs the soak test with one seed after the other and prints the
 * breaches.
 */
public final class SoakCommand implements Subcommand {

  private static final int PORTS_PER_RUN = 300;

  /** Options of the command. */
  private static final class Options {
    @Parameter(names = "--seed", description = "first seed")
    private long seed = 1;

    @Parameter(names = "--runs", description = "number of seeds, one after the other")
    private int runs = 1;

    @Parameter(names = "--daemons", description = "number of daemons")
    private int daemons = 3;

    @Parameter(names = "--seconds", description = "how long faults are injected in each run")
    private int seconds = 25;

    @Parameter(
        names = "--planned",
        description =
            "planned work in place of faults: rolling restarts, workers that are replaced")
    private boolean isPlanned;

    @Parameter(names = "--kind", description = "what happens in each run")
    private SoakKind kind = SoakKind.FAULTS;

    @Parameter(names = "--ending", description = "last event of each run")
    private SoakEnding ending = SoakEnding.NONE;

    @Parameter(
        names = "--daemon-archive",
        description =
            "class archive of the daemons, which then run with the options of a deployment")
    private Path daemonArchive;

    @Parameter(
        names = "--cpu-quota-ms",
        description = "processor time of each daemon in a tenth of a second; default: unlimited")
    private int cpuQuotaMs;

    @Parameter(names = "--load", description = "platform and jobs of each run")
    private SoakLoad load = SoakLoad.SHORT_TASKS;

    @Parameter(
        names = "--daemon-jar",
        description = "build that the daemons run; default: this one")
    private Path daemonJar;

    @Parameter(names = "--directory", description = "directory for settings and logs")
    private String directory = "";

    @Parameter(names = "--help", help = true, description = "show the options")
    private boolean isHelp;
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) {
    Options options = new Options();
    JCommander parser = JCommander.newBuilder().programName("soak").addObject(options).build();
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      err.println(ResultCode.USAGE.number() + " USAGE: " + e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
    if (options.isHelp) {
      StringBuilder usage = new StringBuilder();
      parser.getUsageFormatter().usage(usage);
      out.print(usage);
      return ResultCode.OK.outcome().exitStatus();
    }
    if (options.daemonJar != null && !Files.isRegularFile(options.daemonJar)) {
      err.println(
          ResultCode.USAGE.number() + " USAGE: --daemon-jar: no such file: " + options.daemonJar);
      return ResultCode.USAGE.outcome().exitStatus();
    }
    boolean areInvariantsKept = true;
    for (long seed = options.seed; seed < options.seed + options.runs; seed++) {
      areInvariantsKept &= runSeed(seed, options, out, err);
    }
    return areInvariantsKept
        ? ResultCode.OK.outcome().exitStatus()
        : ResultCode.INTERNAL_ERROR.outcome().exitStatus();
  }

  private static boolean runSeed(long seed, Options options, PrintStream out, PrintStream err) {
    try {
      Path directory = directory(seed, options);
      try (PortBlock ports = PortBlock.reserve(PORTS_PER_RUN);
          SoakRun run =
              new SoakRun(
                  options.isPlanned ? SoakKind.PLANNED_WORK : options.kind,
                  options.load,
                  seed,
                  options.daemons,
                  options.seconds * 1_000L,
                  directory,
                  ports.first())) {
        if (options.daemonJar != null) {
          run.useDaemonJar(options.daemonJar);
        }
        if (options.daemonArchive != null) {
          run.useDaemonArchive(options.daemonArchive);
        }
        run.endWith(options.ending);
        run.limitCpu(options.cpuQuotaMs);
        SoakRun.Result result = run.run();
        out.printf(
            "seed=%d breaches=%d accepted=%d starts=%d answers=%d unanswered=%d"
                + " slowestAnswerMs=%d maxStartDelayMs=%d startChecks=%d lateStartChecks=%d"
                + " settledAfterMs=%d faults=%d logs=%s%n",
            seed,
            result.breaches().size(),
            result.acceptedJobs(),
            result.starts(),
            result.answers(),
            result.unanswered(),
            result.slowestAnswerMs(),
            result.maxStartDelayMs(),
            result.startChecks(),
            result.lateStartChecks(),
            result.settledAfterMs(),
            result.faults().size(),
            directory);
        if (!result.breaches().isEmpty()) {
          result.faults().forEach(fault -> out.println("  fault " + fault));
          result.breaches().forEach(breach -> out.println("  breach " + breach));
        }
        return result.breaches().isEmpty();
      }
    } catch (Exception e) {
      Logger.error(e, "soak: seed={} could not be run", seed);
      err.println("soak: seed " + seed + " could not be run: " + e);
      return false;
    }
  }

  private static Path directory(long seed, Options options) throws IOException {
    return options.directory.isEmpty()
        ? Files.createTempDirectory("soak-" + seed + '-')
        : Files.createDirectories(Path.of(options.directory, "seed-" + seed));
  }
}
