package org.laburnumarch.internal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.Outcome;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.emulator.LoadClient.Kind;
import org.laburnumarch.internal.emulator.LoadClient.Reply;

class LoadTest {

  private Timer timer;
  private MinionStandIn minion;
  private String address;

  @BeforeEach
  void start() throws Exception {
    timer = new Timer("minion");
    minion =
        new MinionStandIn(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new MinionLimits(2, 16),
            new ServiceTimes(1, 5),
            new TeamConcurrency(),
            timer);
    address = Addresses.format(minion.address());
  }

  @AfterEach
  void stop() {
    minion.close();
    timer.close();
  }

  private Reply call(String method, String path, String body) {
    try (LoadClient client = new LoadClient(minion.address())) {
      return client
          .send(method, path, "", body.getBytes(StandardCharsets.UTF_8), 2_000, 2_000)
          .toCompletableFuture()
          .join();
    }
  }

  private JsonNode stats() throws Exception {
    return new ObjectMapper().readTree(call("GET", "/stats", "").body());
  }

  @Nested
  class WhenMinionsAreHealthy {

    /**
     * Guards against a load generator that reports violations where there are none, or does not
     * end.
     */
    @Test
    void shouldEndWithoutViolations() throws Exception {
      LoadOptions options = new LoadOptions();
      JCommander.newBuilder()
          .addObject(options)
          .build()
          .parse(
              "--entries",
              address,
              "--minions",
              address,
              "--services",
              "a,b",
              "--callers",
              "4",
              "--max-requests",
              "300",
              "--settle-ms",
              "1",
              "--seed",
              "3");
      ObjectNode summary = JsonNodeFactory.instance.objectNode();
      assertThat(LoadCommand.run(options, summary)).as("%s", summary).isZero();
      assertThat(summary.path("answered").asInt()).isEqualTo(300);
      assertThat(summary.path("minions").path("maxConcurrent").asInt()).isLessThanOrEqualTo(2);
      assertThat(stats().path("runs")).hasSize(300);
    }
  }

  @Nested
  class WhenMinionsFail {

    /** Guards against a minion stand-in that runs requests that it refuses. */
    @Test
    void shouldRefuseWithoutRunning() throws Exception {
      call("POST", "/control", "{\"refuse\":true,\"leaving\":true}");
      assertThat(call("POST", "/work/t~1", "x").status()).isEqualTo(503);
      assertThat(stats().path("runs")).isEmpty();
    }

    /** Guards against a control request that has no effect. */
    @Test
    void shouldLoseResponsesAsConfigured() throws Exception {
      call("POST", "/control", "{\"truncateNext\":1}");
      assertThat(call("GET", "/work/t~1", "").kind()).isEqualTo(Kind.CONNECTION_LOST);
      call("POST", "/control", "{\"closeNext\":1}");
      assertThat(call("GET", "/work/t~2", "").kind()).isEqualTo(Kind.CONNECTION_LOST);
      call("POST", "/control", "{\"silentNext\":1}");
      assertThat(call("GET", "/work/t~3", "").kind()).isEqualTo(Kind.TIMED_OUT);
      assertThat(stats().path("teams").path("t").asInt()).isEqualTo(3);
    }
  }

  @Nested
  class WhenCheckingResults {

    private final LoadResults results = new LoadResults();

    private int violations(Map<String, Integer> runs) {
      return results.summarise(runs, true, JsonNodeFactory.instance.objectNode());
    }

    private void recordEnd(String id, boolean idempotent, ResultCode code, String body) {
      Reply reply = new Reply(Kind.ANSWERED, code.httpStatus(), code.number(), 0, body);
      results.recordEnd(id, "t", idempotent, reply, 1);
    }

    private static String echo(String id) {
      return "{\"requestId\":\"" + id + "\"}";
    }

    /** Guards against double runs that are not counted; a GET may run twice. */
    @Test
    void shouldCountDoubleRunsOfPostsOnly() {
      recordEnd("post", false, ResultCode.OK, echo("post"));
      recordEnd("get", true, ResultCode.OK, echo("get"));
      assertThat(violations(Map.of("post", 2, "get", 2))).isEqualTo(1);
    }

    /** Guards against refused requests that ran but are not counted. */
    @Test
    void shouldCountRefusalsThatRan() {
      recordEnd("one", true, ResultCode.QUEUE_FULL, "");
      recordEnd("two", true, ResultCode.QUEUE_FULL, "");
      recordEnd("three", false, ResultCode.OUTCOME_UNKNOWN, "");
      assertThat(violations(Map.of("two", 1, "three", 1))).isEqualTo(1);
    }

    /**
     * Guards against violations that are not counted: responses without a run, of another request,
     * or missing.
     */
    @Test
    void shouldCountLostAndWrongResponses() {
      recordEnd("invented", true, ResultCode.OK, echo("invented"));
      recordEnd("swapped", true, ResultCode.OK, echo("invented"));
      results.recordEnd("late", "t", true, Reply.withoutResponse(Kind.TIMED_OUT, ""), 1);
      assertThat(violations(Map.of("swapped", 1))).isEqualTo(3);
    }
  }

  @Nested
  class WhenRunAsSubcommand {

    private int run(String... args) {
      return EmulatorCommand.run(
          args,
          new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
          new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    }

    /** Guards against invalid arguments that end in a stack trace or a success. */
    @Test
    void shouldRejectInvalidArguments() {
      int usage = Outcome.INVALID.exitStatus();
      assertThat(run()).isEqualTo(usage);
      assertThat(run("nothing")).isEqualTo(usage);
      assertThat(run("minion", "--ports", "9-1")).isEqualTo(usage);
      assertThat(run("load", "--entries", "nowhere", "--services", "a")).isEqualTo(usage);
    }

    /** Guards against a failed call that exits with success. */
    @Test
    void shouldReturnAnExitStatusForACall() {
      assertThat(run("call", "--to", address, "--path", "/stats")).isZero();
      assertThat(run("call", "--to", address, "--json", "{\"refuse\":true}")).isZero();
      assertThat(run("call", "--to", address, "--path", "/work/1")).isNotZero();
    }
  }
}
