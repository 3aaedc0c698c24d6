package org.laburnumarch.internal.experiment;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.sun.management.ThreadMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.fleet.CapacityPlan;
import org.laburnumarch.internal.fleet.CapacityPlanner;
import org.laburnumarch.internal.fleet.FleetController;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.InstanceAdded;
import org.laburnumarch.internal.state.RecordCodec;

/**
 * Measures processor time, memory and record bytes of planning steps for fleets up to the design
 * size.
 */
public final class ScaleExperiment {
  private static final int[] INSTANCE_COUNTS = {200, 400, 800, 1_600};
  private static final int INSTANCES_AT_DESIGN_SIZE = 1_600;
  private static final int POOLS_AT_DESIGN_SIZE = 272;
  private static final int TEAMS_AT_DESIGN_SIZE = 200;
  private static final int MAX_URGENT_MOVES = 64;
  private static final int MAX_NON_URGENT_MOVES = 2;
  private static final int IDLE_TICKS = 500;

  /** Arguments of a run. */
  private static final class Arguments {
    @Parameter(names = "--seed", description = "seed of the initial pools of instances")
    private long seed = 1;

    @Parameter(
        names = "--repeats",
        description = "measured runs of each step; the median of the processor times is printed")
    private int repeats = 15;
  }

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /**
   * Runs the experiment.
   *
   * @return 0, or the exit status of wrong usage; there are no targets for these figures
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    Arguments arguments = new Arguments();
    try {
      JCommander.newBuilder().addObject(arguments).build().parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return ResultCode.USAGE.outcome().exitStatus();
    }
    for (int instanceCount : INSTANCE_COUNTS) {
      measure(instanceCount, arguments, out);
    }
    return 0;
  }

  private void measure(int instanceCount, Arguments arguments, PrintStream out) {
    int pools = instanceCount * POOLS_AT_DESIGN_SIZE / INSTANCES_AT_DESIGN_SIZE;
    int teams = instanceCount * TEAMS_AT_DESIGN_SIZE / INSTANCES_AT_DESIGN_SIZE;
    FleetScenario scenario = FleetScenario.of(ScaleText.of(pools, teams));
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(arguments.seed);
    FleetSimulation fleet =
        new FleetSimulation(
            scenario.sections(),
            randomInstances(scenario, instanceCount, random),
            List.of("m"),
            1_000,
            1_000);
    out.printf(
        "%d instances, %d pools, %d teams, seed %d%n", instanceCount, pools, teams, arguments.seed);
    measurePlan("a step with instances in random pools", fleet.state(), arguments.repeats, out);
    int moves = BufferMeasurement.applyPlannedMoves(fleet);
    out.printf("  %d moves in total%n", moves);
    measurePlan("a step without moves", fleet.state(), arguments.repeats, out);
    measureIdleTicks(fleet.state(), out);
    fleet.append(new RecordBody.DataCentreTakenOut("d0"));
    measurePlan("a step after a data centre was taken out", fleet.state(), arguments.repeats, out);
  }

  private static List<InstanceAdded> randomInstances(
      FleetScenario scenario, int instanceCount, UniformRandomProvider random) {
    List<String> pools = new ArrayList<>(scenario.poolSizes().keySet());
    List<InstanceAdded> instances = new ArrayList<>();
    for (int i = 0; i < instanceCount; i++) {
      instances.add(scenario.instance(i, pools.get(random.nextInt(pools.size()))));
    }
    return instances;
  }

  private void measurePlan(String name, ControlState state, int repeats, PrintStream out) {
    long[] cpuNanos = new long[repeats];
    long allocatedBytes = 0;
    CapacityPlan plan = null;
    for (int i = 0; i < repeats; i++) {
      long bytes = threads.getCurrentThreadAllocatedBytes();
      long cpu = threads.getCurrentThreadCpuTime();
      plan = new CapacityPlanner().plan(state, Set.of(), MAX_URGENT_MOVES, MAX_NON_URGENT_MOVES);
      cpuNanos[i] = threads.getCurrentThreadCpuTime() - cpu;
      allocatedBytes = threads.getCurrentThreadAllocatedBytes() - bytes;
    }
    Arrays.sort(cpuNanos);
    int recordBytes = plan.moves().stream().mapToInt(ScaleExperiment::sizeBytes).sum();
    out.printf(
        "  %s: %d moves, %.2f ms of processor time, %d KB allocated, %d bytes of records%n",
        name, plan.moves().size(), cpuNanos[repeats / 2] / 1e6, allocatedBytes / 1024, recordBytes);
  }

  /** Measures the mean processor time of a tick if the state has not changed. */
  private void measureIdleTicks(ControlState state, PrintStream out) {
    FleetController fleet = new FleetController();
    long startNanos = 0;
    for (int i = -IDLE_TICKS; i < IDLE_TICKS; i++) {
      if (i == 0) {
        startNanos = threads.getCurrentThreadCpuTime();
      }
      long nowMs = 1_000_000 + i * FleetSimulation.STEP_MS;
      var unused = fleet.onTick(state, "m", nowMs, state.logTimeEpochMs());
    }
    double tickMs = (threads.getCurrentThreadCpuTime() - startNanos) / 1e6 / IDLE_TICKS;
    out.printf(
        "  a tick without a change: %.3f ms of processor time, %.3f%% of a core%n",
        tickMs, 100 * tickMs / FleetSimulation.STEP_MS);
  }

  private static int sizeBytes(RecordBody body) {
    return RecordCodec.encode(new Envelope("0123456789abcdef-000001", "m", 1, body)).get().length;
  }
}
