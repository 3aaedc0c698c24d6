package org.laburnumarch.internal.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.laburnumarch.ResultCode;

/** Sends a request to each address; prints status, result code and body as one JSON line each. */
@Immutable
final class CallCommand implements EmulatorProgram {

  /** Options of this subcommand. */
  static final class Options {

    @Parameter(names = "--to", description = "host:port,host:port,...", required = true)
    private String to = "";

    @Parameter(names = "--path", description = "Path and query")
    private String path = "/control";

    @Parameter(names = "--json", description = "Body of a POST; without it, a GET is sent")
    private String json = "";

    @Parameter(names = "--key-file", description = "File with the key to present")
    private String keyFile = "";

    @Parameter(names = "--timeout-ms", description = "Timeout of each request")
    private long timeoutMs = 2_000;
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    Options options = new Options();
    JCommander.newBuilder().programName("emulator call").addObject(options).build().parse(args);
    String key = options.keyFile.isEmpty() ? "" : Files.readString(Path.of(options.keyFile)).trim();
    int failed = 0;
    for (InetSocketAddress address : Addresses.parseList(options.to)) {
      LoadClient.Reply reply = call(address, options, key);
      out.println(describe(address, reply));
      failed += isSuccess(reply) ? 0 : 1;
    }
    return failed == 0 ? 0 : ResultCode.ENTRY_UNREACHABLE.outcome().exitStatus();
  }

  private static LoadClient.Reply call(InetSocketAddress address, Options options, String key) {
    try (LoadClient client = new LoadClient(address)) {
      return client
          .send(
              options.json.isEmpty() ? "GET" : "POST",
              options.path,
              key,
              options.json.getBytes(StandardCharsets.UTF_8),
              options.timeoutMs,
              options.timeoutMs)
          .toCompletableFuture()
          .join();
    }
  }

  private static boolean isSuccess(LoadClient.Reply reply) {
    return reply.kind() == LoadClient.Kind.ANSWERED && reply.status() / 100 == 2;
  }

  private static ObjectNode describe(InetSocketAddress address, LoadClient.Reply reply) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("from", Addresses.format(address))
        .put("kind", reply.kind().name())
        .put("status", reply.status())
        .put("result", reply.resultNumber())
        .put("body", reply.body());
  }
}
