package org.laburnumarch.internal.entry;

import com.codahale.metrics.MetricRegistry;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.DataCentreEntry;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.KeyEntry;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.MemberStatus;
import org.laburnumarch.internal.text.FleetSpec;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.MaintenanceSpec;
import org.laburnumarch.internal.text.PoolSpec;
import org.laburnumarch.internal.text.QueueSpec;
import org.laburnumarch.internal.text.ServiceSpec;
import org.laburnumarch.internal.text.TeamSpec;
import org.laburnumarch.internal.text.Weighting;
import org.laburnumarch.spi.ListedInstance;

/** An entry on real sockets whose clock and control state the test controls. */
final class EntryFixture implements AutoCloseable {
  static final String KEY = "lab_k1_s3cret";

  final AtomicLong nowMs = new AtomicLong(1_000_000);
  final Gate gate = new Gate();
  volatile ControlState state;
  volatile List<ListedInstance> listed = List.of();
  final EntryServer entry;
  private final HttpClient http = HttpClient.newHttpClient();

  EntryFixture(String... minionAddresses) throws Exception {
    state = stateWith(minionAddresses);
    EntryEnvironment environment =
        new EntryEnvironment(
            () -> state,
            gate,
            () -> listed,
            Map::of,
            () -> "m1",
            () -> 0,
            nowMs::get,
            System::currentTimeMillis);
    entry =
        EntryServer.start(
            new EntrySettings("127.0.0.1", 0, 1_000, false),
            environment,
            (method, path, headers, body) ->
                CompletableFuture.completedFuture(
                    EntryResponse.text(200, "text/plain", method + " " + path)),
            new MetricRegistry());
  }

  /** Advances the clock and runs a tick of the entry. */
  void advance(long ms) {
    nowMs.addAndGet(ms);
    entry.tick();
  }

  /** Replaces the control state and runs a tick of the entry. */
  void change(ControlState newState) {
    state = newState;
    entry.tick();
  }

  CompletableFuture<HttpResponse<String>> send(String method, String path, String body) {
    return http.sendAsync(
        request(path).method(method, HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> get(String path) {
    return send("GET", path, "").join();
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + path))
        .version(HttpClient.Version.HTTP_1_1)
        .header("Authorization", "Bearer " + KEY);
  }

  HttpResponse<String> send(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
  }

  static String result(HttpResponse<String> response) {
    return response.headers().firstValue(EntryResponse.RESULT_HEADER).orElse("none");
  }

  @Override
  public void close() {
    entry.close();
  }

  static ControlState stateWith(String... minionAddresses) {
    ControlState empty = ControlState.empty();
    SortedMap<String, InstanceEntry> instances = TreeMap.empty();
    for (int i = 0; i < minionAddresses.length; i++) {
      String name = "minion" + (i + 1);
      instances =
          instances.put(
              name,
              new InstanceEntry(
                  name,
                  "p",
                  "dc" + (i + 1),
                  "r1",
                  minionAddresses[i],
                  InstanceHealth.AVAILABLE,
                  0));
    }
    KeyEntry key = new KeyEntry("k1", "a", KeyCheck.digestOf("s3cret"), 0, false);
    MemberEntry member =
        new MemberEntry("m1", "i1", "dc1", "", 0, 0, MemberStatus.ACTIVE, true, 0, -1, -1);
    return new ControlState(
        1,
        1,
        empty.sections(),
        Optional.of(text()),
        TreeMap.of("k1", key),
        TreeMap.of("dc1", new DataCentreEntry("dc1", false, 0)),
        TreeMap.of("m1", member),
        empty.allowances(),
        instances,
        empty.operations(),
        empty.audit());
  }

  static ControlState withKeys(ControlState state, SortedMap<String, KeyEntry> keys) {
    return new ControlState(
        state.nextOffset() + 1,
        state.textVersion(),
        state.sections(),
        state.text(),
        keys,
        state.dataCentres(),
        state.members(),
        state.allowances(),
        state.instances(),
        state.operations(),
        state.audit());
  }

  static ControlState withDataCentreOut(ControlState state, String dataCentre) {
    return new ControlState(
        state.nextOffset() + 1,
        state.textVersion(),
        state.sections(),
        state.text(),
        state.keys(),
        state.dataCentres().put(dataCentre, new DataCentreEntry(dataCentre, true, 1)),
        state.members(),
        state.allowances(),
        state.instances(),
        state.operations(),
        state.audit());
  }

  private static FleetText text() {
    return new FleetText(
        new FleetSpec("firm", Weighting.SHARE_CLOSENESS, "spare", 2),
        TreeMap.empty(),
        TreeMap.empty(),
        TreeMap.of("p", new PoolSpec("p", 8, 4)),
        TreeMap.of("q", new QueueSpec("q", false, 100), "all", new QueueSpec("all", true, 100)),
        TreeMap.of(
            "shop", new ServiceSpec("shop", "p", "q", TreeSet.empty(), 0, 1),
            "public", new ServiceSpec("public", "p", "all", TreeSet.empty(), 0, 1)),
        TreeMap.of("a", new TeamSpec("a", 0.5, 100, false)),
        new MaintenanceSpec(false, 21));
  }

  /** Units and authority set by the test. */
  static final class Gate implements DispatchGate {
    final AtomicInteger units = new AtomicInteger(100);
    volatile Optional<Refusal> authority = Optional.empty();

    @Override
    public Optional<Refusal> checkAuthority() {
      return authority;
    }

    @Override
    public boolean tryAcquire(String team) {
      return units.getAndUpdate(n -> n > 0 ? n - 1 : n) > 0;
    }

    @Override
    public void release(String team) {
      units.incrementAndGet();
    }
  }
}
