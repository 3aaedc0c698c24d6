package org.laburnumarch.internal.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.laburnumarch.ResultCode;

/**
 * Measures buffer size, moves, maintenance roll-out and data centre changes of the example fleets,
 * compared with baselines.
 */
public final class FleetExperiment {

  /** Arguments of a run. */
  private static final class Arguments {
    @Parameter(names = "--seed", description = "seed of initial pools and demand")
    private long seed = 1;

    @Parameter(names = "--text", description = "files with the configuration texts of the fleets")
    private List<String> texts = List.of("examples/puthenveettil.ini", "examples/hinokuni.ini");

    @Parameter(names = "--drain-seconds", description = "duration of a drain")
    private int drainSeconds = 30;

    @Parameter(names = "--reboot-seconds", description = "duration of a reboot")
    private int rebootSeconds = 180;
  }

  /**
   * Runs the experiment.
   *
   * @return 0 if every target of the design was met, 1 if not
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    Arguments arguments = new Arguments();
    try {
      JCommander.newBuilder().addObject(arguments).build().parse(args);
      boolean isMet = true;
      for (String path : arguments.texts) {
        FleetScenario scenario = FleetScenario.of(Files.readString(Path.of(path)));
        out.printf(
            "%s (%s), seed %d%n",
            scenario.text().fleet().name(),
            scenario.text().fleet().weighting().settingValue(),
            arguments.seed);
        isMet &= new BufferMeasurement(scenario).print(out);
        isMet &= new MoveMeasurement(scenario, arguments.seed).print(out);
        isMet &=
            new RollOutMeasurement(scenario, arguments.drainSeconds, arguments.rebootSeconds)
                .print(out);
        isMet &= new DataCentreMeasurement(scenario, arguments.seed).print(out);
      }
      return isMet ? 0 : 1;
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    } catch (IOException e) {
      err.println(
          "cannot read a configuration text; run the command from the root of the project: "
              + e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
  }
}
