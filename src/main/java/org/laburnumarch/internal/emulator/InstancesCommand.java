package org.laburnumarch.internal.emulator;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs the instances stand-in. */
@Immutable
final class InstancesCommand implements EmulatorProgram {

  /** Options of this subcommand. */
  static final class Options extends ServeOptions {

    @Parameter(names = "--port", description = "Port; 0 picks a free one")
    private int port;

    @Parameter(
        names = "--lag-ms",
        description = "Delay in milliseconds until the list shows a change")
    private long lagMs = 1_000;

    @Parameter(names = "--work-ms", description = "Duration in milliseconds of a drain or a reboot")
    private long workMs = 1_000;

    @Parameter(names = "--file", description = "File with a JSON array of the initial instances")
    private String file = "";
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    Options options = new Options();
    options.parse("instances", args);
    try (InstancesStandIn instances =
        InstancesStandIn.start(
            new InetSocketAddress(options.host, options.port), 0, options.workMs)) {
      if (!options.file.isEmpty()) {
        JsonNode items = new ObjectMapper().readTree(Files.readString(Path.of(options.file)));
        instances.control(JsonNodeFactory.instance.objectNode().set("add", items));
      }
      instances.control(JsonNodeFactory.instance.objectNode().put("lagMs", options.lagMs));
      options.serve(out, Addresses.format(instances.address()));
    }
    return 0;
  }
}
