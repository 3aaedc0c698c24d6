package org.laburnumarch.internal.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.daemon.TestFleet.within;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.daemon.TestFleet.Node;
import org.laburnumarch.internal.daemon.TestFleet.Response;
import org.laburnumarch.internal.membership.MemberTimes;

/** Three running daemons whose connections to the log and to each other fail and recover. */
class FleetUnderFailureTest {

  /** Maximum time for a change to reach all daemons, and to detect a failure or recover from it. */
  private static final int SETTLING_SECONDS = 5;

  private static TestFleet fleet;
  private static Node one;
  private static Node two;
  private static Node three;
  private static String key;

  @BeforeAll
  static void start() throws Exception {
    fleet = new TestFleet(5).startServing("entry-one", "entry-two", "entry-three");
    one = fleet.nodes.get("entry-one");
    two = fleet.nodes.get("entry-two");
    three = fleet.nodes.get("entry-three");
    key = fleet.grant(one).path("token").asText();
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @AfterEach
  void heal() {
    fleet.heal();
    for (Node node : fleet.nodes.values()) {
      within(10, () -> assertThat(fleet.sendRequest(node, key).status()).isEqualTo(200));
    }
    within(10, () -> assertThat(all().stream().map(fleet::version).distinct().toList()).hasSize(1));
  }

  private static List<Node> all() {
    return List.copyOf(fleet.nodes.values());
  }

  private static void assertAllServe() {
    for (Node node : all()) {
      assertThat(fleet.sendRequest(node, key)).matches(response -> response.status() == 200);
    }
  }

  private static Response applyNext(Node node, UUID operation) {
    long base = fleet.version(node);
    // The upper limit differs in each version, so that each text is a change.
    return fleet.applyConfig(
        node, TestFleet.configText(TestFleet.UPPER_LIMIT + (int) base), base, operation);
  }

  private static void awaitVersionEverywhere(int seconds, long version) {
    within(seconds, () -> assertThat(all()).allMatch(node -> fleet.version(node) == version));
  }

  /** Waits, without sleeping, until some time has passed. */
  private static void awaitElapsed(long ms) {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    within((int) (ms / 1_000) + 2, () -> assertThat(System.nanoTime()).isGreaterThan(endNs));
  }

  @Nested
  class WhenNothingFails {

    /** Guards against parts that work separately but not together. */
    @Test
    void shouldServeRequestsAndApplyChangesEverywhere() {
      String id = fleet.newRequestId();
      Response response = fleet.sendRequest(two, key, id);
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.json().path("requestId").asText()).isEqualTo(id);
      long base = fleet.version(one);
      assertThat(applyNext(three, UUID.randomUUID()).is(ResultCode.OK)).isTrue();
      awaitVersionEverywhere(1, base + 1);
    }

    /** Guards against a revoked key that some daemon still accepts. */
    @Test
    void shouldRefuseARevokedKeyEverywhere() {
      JsonNode granted = fleet.grant(one);
      String token = granted.path("token").asText();
      within(
          SETTLING_SECONDS,
          () -> assertThat(all()).allMatch(n -> fleet.sendRequest(n, token).status() == 200));
      try (TestLoad load = new TestLoad(fleet, 6, token, FleetUnderFailureTest::all)) {
        within(SETTLING_SECONDS, () -> assertThat(load.served()).isGreaterThan(30));
        assertThat(fleet.revoke(two, granted.path("keyId").asText()).is(ResultCode.OK)).isTrue();
        within(
            SETTLING_SECONDS,
            () ->
                assertThat(all())
                    .allMatch(n -> fleet.sendRequest(n, token).is(ResultCode.KEY_REVOKED)));
        load.end();
        assertThat(load.contradictions(fleet.minions.runs())).isEmpty();
        assertThat(load.withoutResponse()).isEmpty();
      }
    }

    /** Guards against work that starts in a data centre that was taken out. */
    @Test
    void shouldStartNoWorkInADataCentreWhileItIsOut() {
      try (TestLoad load = new TestLoad(fleet, 6, key, FleetUnderFailureTest::all)) {
        within(SETTLING_SECONDS, () -> assertThat(fleet.minions.runsAt(0)).isPositive());
        assertThat(fleet.sendOperatorRequest(one, "POST", "data-centres/north/out", null).status())
            .isEqualTo(200);
        awaitElapsed(300);
        int before = fleet.minions.runsAt(0) + fleet.minions.runsAt(1);
        long servedBefore = load.served();
        within(SETTLING_SECONDS, () -> assertThat(load.served()).isGreaterThan(servedBefore + 100));
        assertThat(fleet.minions.runsAt(0) + fleet.minions.runsAt(1)).isEqualTo(before);
        assertThat(fleet.sendOperatorRequest(two, "POST", "data-centres/north/in", null).status())
            .isEqualTo(200);
        within(
            2,
            () ->
                assertThat(fleet.minions.runsAt(0) + fleet.minions.runsAt(1))
                    .isGreaterThan(before));
        load.end();
        assertThat(load.contradictions(fleet.minions.runs())).isEmpty();
      }
    }

    /**
     * Guards against a configuration text that is refused because of the limit for callers' bodies.
     */
    @Test
    void shouldAcceptOperatorBodiesAboveTheLimitForCallers() {
      String padded = TestFleet.configText(1) + "# " + "x".repeat(1_100_000) + "\n";
      Response response = fleet.applyConfig(one, padded, 0, UUID.randomUUID());
      assertThat(response.is(ResultCode.BODY_TOO_LARGE)).as(response.body()).isFalse();
      assertThat(response.result()).isNotZero();
    }

    /** Guards against a daemon whose state is not visible to operators. */
    @Test
    void shouldExposeTheDaemonStateAsMetrics() {
      String metrics = fleet.send("GET", one.address() + "/-/metrics", "", "").body();
      assertThat(metrics)
          .contains(
              "control_next_offset_records",
              "control_freshness_age_milliseconds",
              "member_active_count",
              "member_counting_count",
              "log_failed_reads",
              "log_failed_appends",
              "alarms_raised_count");
    }
  }

  @Nested
  class WhenTheLogIsDownForAll {

    /**
     * Guards against a fleet that stops serving when the log is down, and against a false response
     * to an operator.
     */
    @Test
    void shouldKeepServingAndRespondToOperators() {
      long base = fleet.version(one);
      fleet.controlLog("{\"outage\":\"silent\"}");
      long endNs =
          System.nanoTime()
              + TimeUnit.MILLISECONDS.toNanos(2 * MemberTimes.FRESHNESS_LIMIT_MS + 1_000);
      CompletableFuture<Response> change =
          CompletableFuture.supplyAsync(
              () ->
                  fleet.applyConfig(
                      two,
                      TestFleet.configText(TestFleet.UPPER_LIMIT + 50),
                      base,
                      UUID.randomUUID()));
      try (TestLoad load = new TestLoad(fleet, 4, key, FleetUnderFailureTest::all)) {
        within(10, () -> assertThat(System.nanoTime()).isGreaterThan(endNs));
        load.end();
        long refused = load.count(ResultCode.NO_AUTHORITY);
        assertThat(load.contradictions(fleet.minions.runs())).isEmpty();
        // Members lose freshness at different times. Each then pings more often for at most 2 s.
        assertThat(load.served()).isGreaterThan(20 * Math.max(1, refused));
      }
      assertAllServe();
      fleet.heal();
      Response response = change.join();
      assertThat(response.result())
          .as("%s", response)
          .isIn(ResultCode.APPEND_OUTCOME_UNKNOWN.number(), ResultCode.OK.number());
    }

    /** Guards against a change whose outcome is reported as unknown although nothing was sent. */
    @Test
    void shouldReportThatTheLogIsUnavailable() {
      fleet.controlLog("{\"outage\":\"unavailable\"}");
      Response response =
          fleet.applyConfig(
              one,
              TestFleet.configText(TestFleet.UPPER_LIMIT + 60),
              fleet.version(one),
              UUID.randomUUID());
      assertThat(response.is(ResultCode.LOG_UNAVAILABLE)).as("%s", response).isTrue();
    }
  }

  @Nested
  class WhenOneDaemonIsCutOff {

    /** Guards against a daemon that serves with keys and limits that may no longer be valid. */
    @Test
    void shouldRefuseAfterTheFreshnessLimitAndServeAgain() {
      fleet.setPeers(three, Relay.Mode.SILENT);
      three.log.set(Relay.UNNAMED, Relay.Mode.CUT);
      JsonNode granted = fleet.grant(one);
      within(
          SETTLING_SECONDS,
          () -> assertThat(fleet.sendRequest(three, key).is(ResultCode.NO_AUTHORITY)).isTrue());
      assertThat(fleet.send("GET", three.address() + "/-/ready", "", "").status()).isEqualTo(503);
      String id = fleet.newRequestId();
      assertThat(fleet.sendRequest(three, key, id).is(ResultCode.NO_AUTHORITY)).isTrue();
      assertThat(fleet.minions.runs()).doesNotContainKey(id);
      assertThat(fleet.sendRequest(one, key).status()).isEqualTo(200);
      fleet.heal();
      String token = granted.path("token").asText();
      within(
          SETTLING_SECONDS,
          () -> assertThat(fleet.sendRequest(three, token).status()).isEqualTo(200));
    }

    /**
     * Guards against a daemon that serves an old configuration because only its log path is cut.
     */
    @Test
    void shouldGetChangesThroughPeers() {
      three.log.set(Relay.UNNAMED, Relay.Mode.SILENT);
      for (int i = 0; i < 3; i++) {
        long base = fleet.version(one);
        assertThat(applyNext(one, UUID.randomUUID()).is(ResultCode.OK)).isTrue();
        awaitVersionEverywhere(SETTLING_SECONDS, base + 1);
      }
      try (TestLoad load = new TestLoad(fleet, 2, key, () -> List.of(three))) {
        awaitElapsed(MemberTimes.FRESHNESS_LIMIT_MS + 1_000);
        load.end();
        assertThat(load.served()).isPositive();
        assertThat(load.exchanges)
            .filteredOn(exchange -> exchange.response().status() != 200)
            .isEmpty();
      }
    }

    /** Guards against connections that stay silent permanently while new ones work. */
    @Test
    void shouldReplaceSilentConnections() {
      all().forEach(node -> node.log.silenceExisting());
      all().forEach(node -> node.peers.silenceExisting());
      long base = fleet.version(one);
      UUID operation = UUID.randomUUID();
      within(10, () -> assertThat(applyOperation(operation, base).is(ResultCode.OK)).isTrue());
      awaitVersionEverywhere(SETTLING_SECONDS, base + 1);
    }

    private Response applyOperation(UUID operation, long base) {
      return fleet.applyConfig(
          one, TestFleet.configText(TestFleet.UPPER_LIMIT + (int) base), base, operation);
    }
  }

  @Nested
  class WhenAMajorityIsCutOff {

    /**
     * Guards against a change that is reported as accepted while most daemons have not applied it.
     */
    @Test
    void shouldNotReportTheChangeAsInForce() {
      long base = fleet.version(one);
      for (Node node : List.of(two, three)) {
        node.log.set(Relay.UNNAMED, Relay.Mode.CUT);
      }
      fleet.setPeers(one, Relay.Mode.SILENT);
      Response response = applyNext(one, UUID.randomUUID());
      assertThat(response.is(ResultCode.NOT_IN_FORCE_YET)).as("%s", response).isTrue();
      assertThat(fleet.version(one)).isEqualTo(base + 1);
      fleet.heal();
      awaitVersionEverywhere(SETTLING_SECONDS, base + 1);
    }
  }

  @Nested
  class WhenAppendResponsesAreLost {

    /** Guards against a change that is applied twice, or is abandoned although it took effect. */
    @Test
    void shouldApplyTheChangeOnce() {
      long base = fleet.version(one);
      UUID operation = UUID.randomUUID();
      fleet.controlLog("{\"loseAnswers\":2}");
      Response response = applyNext(two, operation);
      assertThat(response.is(ResultCode.OK)).as("%s", response).isTrue();
      awaitVersionEverywhere(1, base + 1);
      Response repeated =
          fleet.applyConfig(
              two, TestFleet.configText(TestFleet.UPPER_LIMIT + (int) base), base, operation);
      assertThat(repeated.json().path("version").asLong()).as("%s", repeated).isEqualTo(base + 1);
      assertThat(fleet.version(one)).isEqualTo(base + 1);
    }
  }
}
