package org.laburnumarch.internal.experiment;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import org.laburnumarch.ResultCode;

/** Runs one experiment by its name. */
public final class ExperimentCommand {

  /** The experiments, by their names on the command line. */
  private enum Experiment {
    FLEET {
      @Override
      int run(String[] args, PrintStream out, PrintStream err) {
        return new FleetExperiment().run(args, out, err);
      }
    },
    SCALE {
      @Override
      int run(String[] args, PrintStream out, PrintStream err) {
        return new ScaleExperiment().run(args, out, err);
      }
    },
    SHARES {
      @Override
      int run(String[] args, PrintStream out, PrintStream err) {
        return new ShareExperiment().run(args, out, err);
      }
    },
    ENTRY {
      @Override
      int run(String[] args, PrintStream out, PrintStream err) {
        return new EntryBench().run(args, out, err);
      }
    };

    abstract int run(String[] args, PrintStream out, PrintStream err);

    static Optional<Experiment> named(String name) {
      return Arrays.stream(values()).filter(e -> e.name().equalsIgnoreCase(name)).findFirst();
    }
  }

  /**
   * Runs the experiment that the first argument names.
   *
   * @return 0 if its targets were met, 1 if not, or the exit status of wrong usage
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    Optional<Experiment> experiment =
        args.length == 0 ? Optional.empty() : Experiment.named(args[0]);
    if (experiment.isEmpty()) {
      err.println(
          ResultCode.USAGE.number()
              + " USAGE: give the name of an experiment: fleet, scale, shares or entry");
      return ResultCode.USAGE.outcome().exitStatus();
    }
    return experiment.get().run(Arrays.copyOfRange(args, 1, args.length), out, err);
  }
}
