package org.laburnumarch.internal.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.daemon.TestFleet.within;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.daemon.TestFleet.Node;
import org.laburnumarch.internal.daemon.TestFleet.Response;
import org.laburnumarch.internal.http.HttpPlatformLog;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.ExpulsionReason;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;

/** Daemons that leave, are killed, are expelled, and are replaced. */
class ReplacementTest {
  private TestFleet fleet;
  private final List<Node> targets = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() {
    fleet.close();
  }

  private Node startThree() throws Exception {
    fleet = new TestFleet(20).startServing("entry-one", "entry-two", "entry-three");
    targets.addAll(fleet.nodes.values());
    return fleet.nodes.get("entry-three");
  }

  private String grant() {
    return fleet.grant(targets.get(0)).path("token").asText();
  }

  private void append(RecordBody body) throws Exception {
    Envelope envelope = new Envelope(UUID.randomUUID().toString(), "test", 0, body);
    try (HttpPlatformLog log = new HttpPlatformLog(fleet.log.address(), "control")) {
      log.append(RecordCodec.encode(envelope).get()).toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class WhenADaemonStopsGracefully {

    /**
     * Guards against requests that are lost at a planned stop, and against allowance that is lost
     * with the stopped daemon.
     */
    @Test
    void shouldLoseNoRequestAndTransferItsAllowance() throws Exception {
      Node leaving = startThree();
      String key = grant();
      try (TestLoad load = new TestLoad(fleet, 24, key, () -> targets)) {
        within(5, () -> assertThat(load.served()).isGreaterThan(100));
        targets.remove(leaving);
        CompletableFuture<Boolean> stopped = leaving.daemon.stop().toCompletableFuture();
        assertThat(stopped.get(10, TimeUnit.SECONDS)).isTrue();
        leaving.daemon.close();
        // The whole limit is in use again without the member.
        long before = load.served();
        within(5, () -> assertThat(load.served()).isGreaterThan(before + 200));
        load.end();
        assertThat(load.withoutResponse()).isEmpty();
        assertThat(load.contradictions(fleet.minions.runs())).isEmpty();
      }
      Node one = targets.get(0);
      within(5, () -> assertThat(fleet.status(one).path("members")).hasSize(2));
      assertThat(fleet.minions.maxConcurrentRuns(TestFleet.TEAM))
          .isLessThanOrEqualTo(TestFleet.UPPER_LIMIT);
      awaitWholeLimitInUse(key);
    }

    private void awaitWholeLimitInUse(String key) {
      try (TestLoad load = new TestLoad(fleet, 40, key, () -> targets)) {
        within(
            5,
            () ->
                assertThat(fleet.minions.maxConcurrentRuns(TestFleet.TEAM))
                    .isEqualTo(TestFleet.UPPER_LIMIT));
        load.end();
      }
    }
  }

  @Nested
  class WhenADaemonIsKilled {

    /** Guards against a limit that is exceeded while work of a killed member may still run. */
    @Test
    void shouldKeepTheLimitAndMakeTheReplacementReady() throws Exception {
      Node killed = startThree();
      String key = grant();
      try (TestLoad load = new TestLoad(fleet, 24, key, () -> targets)) {
        within(5, () -> assertThat(load.served()).isGreaterThan(100));
        targets.remove(killed);
        fleet.kill(killed);
        Node replacement = fleet.join("entry-four");
        within(
            10,
            () ->
                assertThat(fleet.send("GET", replacement.address() + "/-/ready", "", "").status())
                    .isEqualTo(200));
        assertThat(fleet.sendRequest(replacement, key))
            .matches(response -> response.status() != 404);
        targets.add(replacement);
        long before = load.served();
        within(5, () -> assertThat(load.served()).isGreaterThan(before + 200));
        load.end();
        assertThat(load.contradictions(fleet.minions.runs())).isEmpty();
        within(
            10,
            () ->
                assertThat(fleet.sendRequest(replacement, key))
                    .matches(response -> response.status() == 200));
      }
      assertThat(fleet.minions.maxConcurrentRuns(TestFleet.TEAM))
          .isLessThanOrEqualTo(TestFleet.UPPER_LIMIT);
    }
  }

  @Nested
  class WhenADaemonIsExpelled {

    /**
     * Guards against an expelled daemon that never serves again, or continues under its old member
     * id.
     */
    @Test
    void shouldRejoinUnderANewMemberIdAndServe() throws Exception {
      Node expelled = startThree();
      String key = grant();
      for (int round = 0; round < 2; round++) {
        String former = fleet.status(expelled).path("answeringMemberId").asText();
        String by = fleet.status(targets.get(0)).path("answeringMemberId").asText();
        append(new RecordBody.MemberExpelled(former, by, ExpulsionReason.GONE));
        within(
            5,
            () ->
                assertThat(fleet.status(expelled).path("answeringMemberId").asText())
                    .isNotEmpty()
                    .isNotEqualTo(former));
        within(
            5,
            () ->
                assertThat(fleet.sendRequest(expelled, key))
                    .matches(response -> response.status() == 200));
        within(5, () -> assertThat(fleet.countingMembers(targets.get(0))).isEqualTo(3));
      }
    }
  }

  @Nested
  class WhenADaemonJoinsWithoutTheLog {

    /** Guards against a joining daemon that serves without a seat or does not get the state. */
    @Test
    void shouldGetTheStateFromPeersAndServeOnceTheLogIsBack() throws Exception {
      startThree();
      String key = grant();
      long version = fleet.version(targets.get(0));
      fleet.controlLog("{\"outage\":\"unavailable\"}");
      Node joiner = fleet.join("entry-four");
      within(5, () -> assertThat(fleet.version(joiner)).isEqualTo(version));
      assertThat(fleet.send("GET", joiner.address() + "/-/ready", "", "").status()).isEqualTo(503);
      Response refused = fleet.sendRequest(joiner, key);
      assertThat(refused.result()).isIn(ResultCode.NOT_READY.number(), ResultCode.NO_SEAT.number());
      fleet.heal();
      within(10, () -> assertThat(fleet.sendRequest(joiner, key).status()).isEqualTo(200));
    }
  }

  @Nested
  class WhenTheLogHasManyRecords {

    /** Guards against records that no snapshot covers when the log drops them. */
    @Test
    void shouldTakeASnapshot() throws Exception {
      fleet = new TestFleet(5);
      try (HttpPlatformLog log = new HttpPlatformLog(fleet.log.address(), "control")) {
        CompletableFuture<?>[] appends = new CompletableFuture<?>[2_200];
        for (int i = 0; i < appends.length; i++) {
          appends[i] = log.append(new byte[] {1}).toCompletableFuture();
        }
        CompletableFuture.allOf(appends).get(20, TimeUnit.SECONDS);
      }
      Node one = fleet.startServing("entry-one").nodes.get("entry-one");
      within(10, () -> assertThat(hasSnapshot(one)).isTrue());
    }

    private boolean hasSnapshot(Node node) throws Exception {
      long nextOffset = fleet.status(node).path("nextOffset").asLong();
      try (HttpPlatformLog log = new HttpPlatformLog(fleet.log.address(), "control")) {
        return log
            .read(2_200, 500, 0)
            .toCompletableFuture()
            .get(5, TimeUnit.SECONDS)
            .records()
            .stream()
            .filter(logged -> logged.offset() < nextOffset)
            .map(logged -> RecordCodec.decode(logged.data()))
            .anyMatch(e -> e.exists(x -> x.body() instanceof RecordBody.SnapshotTaken));
      }
    }
  }

  @Nested
  class WhenAnAddressIsInUse {

    /** Guards against a failed start that leaves its other ports bound and its threads running. */
    @Test
    void shouldReleaseEverythingItHadOpened() throws Exception {
      Node three = startThree();
      var settings = three.settings;
      three.daemon.close();
      try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        var faulty =
            new org.laburnumarch.internal.settings.DaemonSettings(
                settings.instance(),
                settings.dataCentre(),
                new org.laburnumarch.internal.settings.HostPort("127.0.0.1", busy.getLocalPort()),
                settings.peerListenAddress(),
                settings.advertisedPeerAddress(),
                settings.seedPeerAddresses(),
                settings.logAddress(),
                settings.instanceListAddress(),
                settings.fleetSecret(),
                settings.operatorTokenDigests(),
                settings.queueLimits(),
                settings.shutdownTimeoutMs(),
                settings.logFormat());
        org.assertj.core.api.Assertions.assertThatThrownBy(() -> Daemon.start(faulty)).isNotNull();
      }
      InetSocketAddress peers = settings.peerListenAddress().toSocketAddress();
      try (ServerSocket free = new ServerSocket()) {
        free.setReuseAddress(true);
        free.bind(peers);
        assertThat(free.isBound()).isTrue();
      }
    }
  }
}
