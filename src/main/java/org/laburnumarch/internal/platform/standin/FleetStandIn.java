package org.laburnumarch.internal.platform.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/**
 * A whole platform on loopback addresses: store, service for instances, and the workers of two
 * pools and a spare one. All calls on the loop's thread.
 */
public final class FleetStandIn implements AutoCloseable {

  /** Pool of the queue {@link #SHORT_QUEUE}. */
  public static final String DESK = "desk";

  /** Pool of the queue {@link #LASTING_QUEUE}. */
  public static final String YARD = "yard";

  /** Pool whose instances are switched off. */
  public static final String RESERVE = "reserve";

  /** Queue for jobs that end. */
  public static final String SHORT_QUEUE = "holds";

  /** Queue for jobs that last. */
  public static final String LASTING_QUEUE = "ledgers";

  /** Host name of all queues. */
  public static final String HOST = "soak.example";

  /** Teams that submit jobs; the key of each is its name. */
  public static final List<String> TEAMS = List.of("pilgrims", "gangs", "banks");

  private static final long BEAT_MS = 1_500;
  private static final long TICK_MS = 20;

  /** Time in which a worker's process starts again. */
  private static final long RESTART_MS = 300;

  /** Beats that a worker may miss before its entry is removed. */
  private static final int MISSED_BEATS = 3;

  /** Speeds of workers' clocks that the platform allows: up to 2 in 100 slow. */
  private static final double SLOWEST_CLOCK = 0.981;

  /** Where the parts of the platform listen, and where daemons reach them. */
  public record Addresses(
      InetSocketAddress store, InetSocketAddress instances, int firstWorkerPort) {}

  /** An instance and whether its worker reaches the registry. */
  private static final class Place {
    private final String pool;
    private final WorkerStandIn port;
    private boolean isDark;
    private int missedBeats;

    Place(String pool, WorkerStandIn port) {
      this.pool = pool;
      this.port = port;
    }
  }

  private final HttpLoop loop;
  private final LocalClock clock;
  private final Random random;
  private final UnaryOperator<InetSocketAddress> exposure;
  private final StoreStandIn store;
  private final InstancesStandIn instances;
  private final PromiseJudge judge;
  private final Map<String, Place> places = new LinkedHashMap<>();
  private final int firstWorkerPort;
  private int livesBegun;
  private long beat;
  private long configVersion;
  private boolean hasExtraRoute;
  private boolean isClosed;

  /**
   * Binds all addresses. Not to be called on the loop's thread; all other methods are.
   *
   * @param exposure gives the address under which daemons reach a worker that listens at another
   * @param poolSizes number of instances of each pool
   * @throws Exception if an address cannot be bound
   */
  public FleetStandIn(
      Addresses addresses,
      HttpLoop loop,
      LocalClock clock,
      UnaryOperator<InetSocketAddress> exposure,
      PromiseJudge judge,
      Map<String, Integer> poolSizes,
      long seed)
      throws Exception {
    this.loop = loop;
    this.clock = clock;
    this.random = new Random(seed);
    this.exposure = exposure;
    this.judge = judge;
    this.firstWorkerPort = addresses.firstWorkerPort();
    this.store = new StoreStandIn(addresses.store(), loop, random.nextLong());
    this.instances =
        new InstancesStandIn(
            addresses.instances(),
            loop,
            new InstancesStandIn.Lives() {
              @Override
              public void end(String machine) {
                endLife(machine);
              }

              @Override
              public String begin(String machine, String pool) {
                return beginLife(machine, pool);
              }
            });
    for (Map.Entry<String, Integer> pool : poolSizes.entrySet()) {
      for (int i = 0; i < pool.getValue(); i++) {
        addPlace(pool.getKey(), i);
      }
    }
  }

  private void addPlace(String pool, int number) throws Exception {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), firstWorkerPort + places.size());
    WorkerStandIn port = new WorkerStandIn(address, loop, clock, judge, random.nextLong());
    places.put(pool + '-' + number, new Place(pool, port));
  }

  /** Begins the lives of all workers, writes the first configuration and lets time pass. */
  public void start() {
    places.forEach((machine, place) -> instances.add(machine, place.pool));
    writeConfig();
    tick();
    beat();
  }

  /** Returns the store, to change how it behaves. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns the names of the instances that have a worker now. */
  public List<String> machines() {
    return places.entrySet().stream()
        .filter(entry -> entry.getValue().port.worker().isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }

  private String beginLife(String machine, String pool) {
    if (pool.equals(RESERVE)) {
      return "";
    }
    String id = "w" + livesBegun++;
    double clockRate = SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * random.nextDouble();
    SimulatedWorker worker =
        new SimulatedWorker(id, pool, "r" + livesBegun % 2, clock.nowMs(), clockRate, judge);
    Place place = places.get(machine);
    place.port.begin(worker);
    place.isDark = false;
    writeEntry(place);
    return id;
  }

  private void endLife(String machine) {
    WorkerStandIn port = places.get(machine).port;
    port.worker()
        .ifPresent(worker -> store.write(StoreClient.WORKERS, worker.id(), Optional.empty()));
    port.end(clock.nowMs());
  }

  /** Lets a worker lose all it knows and start again under its id. */
  public void restartWorker(String machine) {
    WorkerStandIn port = places.get(machine).port;
    Optional<SimulatedWorker> worker = port.worker();
    port.end(clock.nowMs());
    worker.ifPresent(
        ended ->
            loop.after(
                RESTART_MS,
                () -> {
                  // The instance may have been moved meanwhile.
                  if (port.worker().isEmpty() && instances.workerOf(machine).equals(ended.id())) {
                    ended.crash(clock.nowMs());
                    port.begin(ended);
                    writeEntry(places.get(machine));
                  }
                }));
  }

  /** Keeps a worker's entry in the registry from being renewed, or lets it be renewed again. */
  public void setDark(String machine, boolean isDark) {
    places.get(machine).isDark = isDark;
  }

  /** Lets a share of the orders to workers go unanswered and be obeyed seconds later. */
  public void obeyLate(double share) {
    places.values().forEach(place -> place.port.obeyLate(share));
  }

  /** Writes a new version of the configuration, which adds or drops a queue that nobody uses. */
  public void changeConfig() {
    hasExtraRoute = !hasExtraRoute;
    writeConfig();
  }

  private void writeConfig() {
    configVersion += 1 + random.nextInt(3);
    List<Map<String, Object>> routes = new ArrayList<>();
    routes.add(route(SHORT_QUEUE, DESK));
    routes.add(route(LASTING_QUEUE, YARD));
    if (hasExtraRoute) {
      routes.add(route("extra", DESK));
    }
    Map<String, Object> config =
        Map.of(
            "version",
            configVersion,
            "routes",
            routes,
            "services",
            List.of(service(DESK, false), service(YARD, false), service(RESERVE, true)),
            "tenants",
            TEAMS.stream().map(FleetStandIn::team).toList(),
            "limits",
            Map.of());
    store.write(StoreClient.OPERATORS, "config", Optional.of(Json.bytes(config)));
  }

  private static Map<String, Object> route(String name, String service) {
    return Map.of(
        "name",
        name,
        "host",
        HOST,
        "pathPrefix",
        '/' + name + '/',
        "service",
        service,
        "priority",
        0,
        "maxAttempts",
        PromiseJudge.MAX_ATTEMPTS,
        "stretch",
        1.6,
        "targetLatencyMs",
        600);
  }

  private static Map<String, Object> service(String name, boolean isSpare) {
    return Map.of("name", name, "rejectsOverload", true, "spare", isSpare);
  }

  private static Map<String, Object> team(String name) {
    return Map.of(
        "name",
        name,
        "apiKeys",
        List.of(name),
        "weight",
        50,
        "maxCount",
        Map.of("cpu", PromiseJudge.TEAM_CPU_MILLIS, "memMb", 0, "gpus", 0));
  }

  private void tick() {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    places.values().forEach(place -> place.port.advance(nowMs));
    loop.after(TICK_MS, this::tick);
  }

  private void beat() {
    if (isClosed) {
      return;
    }
    beat++;
    for (Place place : places.values()) {
      if (!place.isDark) {
        place.missedBeats = 0;
        writeEntry(place);
      } else if (++place.missedBeats == MISSED_BEATS) {
        place
            .port
            .worker()
            .ifPresent(worker -> store.write(StoreClient.WORKERS, worker.id(), Optional.empty()));
      }
    }
    loop.after(BEAT_MS, this::beat);
  }

  private void writeEntry(Place place) {
    Optional<SimulatedWorker> worker = place.port.worker();
    if (worker.isPresent()
        && !store.write(StoreClient.WORKERS, worker.get().id(), place.port.entry(beat, exposure))) {
      Logger.debug("standin: event=entry-refused worker={}", worker.get().id());
    }
  }

  /** Stops answering. */
  @Override
  public void close() {
    isClosed = true;
    places.values().forEach(place -> place.port.close());
    instances.close();
    store.close();
  }
}
