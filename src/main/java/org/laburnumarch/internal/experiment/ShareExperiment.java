package org.laburnumarch.internal.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import org.laburnumarch.ResultCode;

/**
 * Measures slot utilisation and how far teams are from their entitlement under overload, compared
 * with first come, first served with a static split of the slots. Runs in virtual time from a seed.
 */
public final class ShareExperiment {

  /** Arguments of a run. */
  private static final class Arguments {
    @Parameter(names = "--seed", description = "first seed")
    private long seed = 1;

    @Parameter(names = "--runs", description = "number of runs, each with the next seed")
    private int runs = 5;

    @Parameter(names = "--seconds", description = "virtual seconds of each run")
    private int seconds = 300;

    @Parameter(names = "--load", description = "mean demand as a multiple of capacity")
    private double load = 2;

    @Parameter(names = "--service-ms", description = "mean run time of a request")
    private double serviceMs = 60;

    @Parameter(
        names = "--max-queued",
        description = "maximum of waiting requests per team and daemon")
    private int maxQueued = 100;
  }

  /**
   * Runs the experiment.
   *
   * @return 0 if in every run at least 95% of the slots were busy and every team was within 2% of
   *     the capacity from its entitlement in every window of 10 s, 1 if not
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    Arguments arguments = new Arguments();
    try {
      JCommander.newBuilder().addObject(arguments).build().parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
    ShareScenario scenario =
        ShareScenario.standard(
            arguments.load, arguments.serviceMs, arguments.maxQueued, arguments.seconds * 1_000L);
    boolean isWithinTarget = true;
    for (int run = 0; run < arguments.runs; run++) {
      long seed = arguments.seed + run;
      FairnessMeter.Result fair = new ShareSimulation(scenario, false, seed).run();
      print("by share", seed, fair, out);
      print("baseline", seed, new ShareSimulation(scenario, true, seed).run(), out);
      isWithinTarget &= fair.busyPercent() >= 95 && fair.worstPercent() <= 2;
    }
    return isWithinTarget ? 0 : 1;
  }

  private static void print(
      String policy, long seed, FairnessMeter.Result result, PrintStream out) {
    out.printf(
        "seed %d %s: slots busy %.1f%%, distance from entitlement over 10 s worst %.2f%% mean"
            + " %.2f%% of capacity, within 2%% in %.1f%% of %d windows%n",
        seed,
        policy,
        result.busyPercent(),
        result.worstPercent(),
        result.meanPercent(),
        result.closePercent(),
        result.windowCount());
  }

  /** Runs the experiment from the command line. */
  public static void main(String[] args) {
    System.exit(new ShareExperiment().run(args, System.out, System.err));
  }
}
