package org.laburnumarch.internal.emulator;

import com.beust.jcommander.Parameter;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Runs minions on a range of ports. */
@Immutable
final class MinionCommand implements EmulatorProgram {

  /** Options of this subcommand. */
  static final class Options extends ServeOptions {

    @Parameter(
        names = "--ports",
        description = "Ports or ranges, for example 9000-9008,9010",
        required = true)
    private String ports = "";

    @Parameter(names = "--slots", description = "Concurrent runs per minion")
    private int slots = MinionLimits.DEFAULT.slots();

    @Parameter(names = "--connections", description = "Concurrent connections per minion")
    private int connections = MinionLimits.DEFAULT.connections();

    @Parameter(names = "--mean-ms", description = "Mean service time in milliseconds")
    private double meanMs = 20;
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    Options options = new Options();
    options.parse("minion", args);
    Timer timer = new Timer("minions");
    TeamConcurrency teamConcurrency = new TeamConcurrency();
    List<MinionStandIn> minions = new ArrayList<>();
    try {
      for (int port : Addresses.parsePorts(options.ports)) {
        minions.add(
            new MinionStandIn(
                new InetSocketAddress(options.host, port),
                new MinionLimits(options.slots, options.connections),
                new ServiceTimes(options.meanMs, options.seed + minions.size()),
                teamConcurrency,
                timer));
      }
      options.serve(out, describe(minions));
    } finally {
      for (MinionStandIn minion : minions) {
        minion.close();
      }
      timer.close();
    }
    return 0;
  }

  private static String describe(List<MinionStandIn> minions) {
    return minions.stream()
        .map(minion -> Addresses.format(minion.address()))
        .collect(Collectors.joining(","));
  }
}
