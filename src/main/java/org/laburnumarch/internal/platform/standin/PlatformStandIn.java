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
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Simulates the platform on loopback addresses: the store, the instance service, and the workers of
 * two pools and a spare pool. Methods must be called on the event loop's thread.
 */
public final class PlatformStandIn implements AutoCloseable {

  /** Pool that serves {@link #BATCH_QUEUE}. */
  public static final String BATCH_POOL = "desk";

  /** Pool that serves {@link #LONG_RUNNING_QUEUE}. */
  public static final String LONG_RUNNING_POOL = "yard";

  /** Spare pool; its instances run no worker. */
  public static final String SPARE_POOL = "reserve";

  /** Queue for jobs whose tasks end by themselves. */
  public static final String BATCH_QUEUE = "holds";

  /** Queue for jobs with long-running tasks. */
  public static final String LONG_RUNNING_QUEUE = "ledgers";

  /** Host name of all queues. */
  public static final String HOST = "soak.example";

  /** Teams that submit jobs; the API key of each team is its name. */
  public static final List<String> TEAMS = List.of("pilgrims", "gangs", "banks");

  private static final long HEARTBEAT_INTERVAL_MS = 1_500;
  private static final long TICK_INTERVAL_MS = 20;

  /** Time that a worker's process takes to restart. */
  private static final long WORKER_RESTART_MS = 300;

  /** Number of missed heartbeats after which a worker is removed from the registry. */
  private static final int MISSED_HEARTBEATS_UNTIL_REMOVAL = 3;

  /** Lowest rate of a simulated worker's clock; the platform allows clocks that are 2% slow. */
  private static final double MIN_CLOCK_RATE = 0.981;

  /** Addresses at which the store, the instance service and the workers listen. */
  public record Addresses(
      InetSocketAddress store, InetSocketAddress instanceService, int firstWorkerPort) {}

  /** An instance, and whether the heartbeats of its worker reach the registry. */
  private static final class Instance {
    private final String pool;
    private final WorkerStandIn workerStandIn;
    private boolean areHeartbeatsSuspended;
    private int missedHeartbeats;

    Instance(String pool, WorkerStandIn workerStandIn) {
      this.pool = pool;
      this.workerStandIn = workerStandIn;
    }
  }

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final Random random;
  private final UnaryOperator<InetSocketAddress> advertisedAddress;
  private final StoreStandIn store;
  private final InstanceServiceStandIn instanceService;
  private final InvariantChecker checker;
  private final Map<String, Instance> instancesByName = new LinkedHashMap<>();
  private final int firstWorkerPort;
  private int startedWorkers;
  private long heartbeatNumber;
  private long configVersion;
  private boolean hasExtraRoute;
  private boolean isClosed;

  /**
   * Binds all addresses. Must not be called on the event loop's thread, unlike all other methods.
   *
   * @param advertisedAddress maps the address at which a worker listens to the one that the
   *     registry lists for it, for example that of a proxy
   * @param poolSizes number of instances of each pool
   * @throws Exception if an address cannot be bound
   */
  public PlatformStandIn(
      Addresses addresses,
      EventLoopThread loop,
      SuspendAwareClock clock,
      UnaryOperator<InetSocketAddress> advertisedAddress,
      InvariantChecker checker,
      Map<String, Integer> poolSizes,
      long seed)
      throws Exception {
    this.loop = loop;
    this.clock = clock;
    this.random = new Random(seed);
    this.advertisedAddress = advertisedAddress;
    this.checker = checker;
    this.firstWorkerPort = addresses.firstWorkerPort();
    this.store = new StoreStandIn(addresses.store(), loop, random.nextLong());
    this.instanceService =
        new InstanceServiceStandIn(
            addresses.instanceService(),
            loop,
            new InstanceServiceStandIn.WorkerLifecycle() {
              @Override
              public void terminate(String instanceName) {
                terminateWorker(instanceName);
              }

              @Override
              public String start(String instanceName, String pool) {
                return startWorker(instanceName, pool);
              }
            });
    for (Map.Entry<String, Integer> pool : poolSizes.entrySet()) {
      for (int i = 0; i < pool.getValue(); i++) {
        addInstance(pool.getKey(), i);
      }
    }
  }

  private void addInstance(String pool, int number) throws Exception {
    InetSocketAddress address =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), firstWorkerPort + instancesByName.size());
    WorkerStandIn workerStandIn =
        new WorkerStandIn(address, loop, clock, checker, random.nextLong());
    instancesByName.put(pool + '-' + number, new Instance(pool, workerStandIn));
  }

  /** Starts all workers, writes the first configuration and starts the periodic timers. */
  public void start() {
    instancesByName.forEach(
        (instanceName, instance) -> instanceService.addInstance(instanceName, instance.pool));
    writeConfig();
    tick();
    sendHeartbeats();
  }

  /** Returns the store, so that faults can be injected. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns the names of the instances that run a worker now. */
  public List<String> instancesWithWorker() {
    return instancesByName.entrySet().stream()
        .filter(entry -> entry.getValue().workerStandIn.worker().isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }

  private String startWorker(String instanceName, String pool) {
    if (pool.equals(SPARE_POOL)) {
      return "";
    }
    String id = "w" + startedWorkers++;
    double clockRate = MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * random.nextDouble();
    SimulatedWorker worker =
        new SimulatedWorker(id, pool, "r" + startedWorkers % 2, clock.nowMs(), clockRate, checker);
    Instance instance = instancesByName.get(instanceName);
    instance.workerStandIn.startWorker(worker);
    instance.areHeartbeatsSuspended = false;
    writeRegistryEntry(instance);
    return id;
  }

  private void terminateWorker(String instanceName) {
    WorkerStandIn workerStandIn = instancesByName.get(instanceName).workerStandIn;
    workerStandIn
        .worker()
        .ifPresent(
            worker -> store.write(StoreClient.WORKER_REGISTRY_LOG, worker.id(), Optional.empty()));
    workerStandIn.terminateWorker(clock.nowMs());
  }

  /** Restarts a worker under the same id with a new incarnation; its state is lost. */
  public void restartWorker(String instanceName) {
    WorkerStandIn workerStandIn = instancesByName.get(instanceName).workerStandIn;
    Optional<SimulatedWorker> worker = workerStandIn.worker();
    workerStandIn.terminateWorker(clock.nowMs());
    worker.ifPresent(
        terminated ->
            loop.schedule(
                WORKER_RESTART_MS,
                () -> {
                  // The instance may have been moved in the meantime.
                  if (workerStandIn.worker().isEmpty()
                      && instanceService.workerOf(instanceName).equals(terminated.id())) {
                    terminated.crash(clock.nowMs());
                    workerStandIn.startWorker(terminated);
                    writeRegistryEntry(instancesByName.get(instanceName));
                  }
                }));
  }

  /** Suspends or resumes the heartbeats that renew a worker's entry in the registry. */
  public void setHeartbeatsSuspended(String instanceName, boolean isSuspended) {
    instancesByName.get(instanceName).areHeartbeatsSuspended = isSuspended;
  }

  /** Sets the fraction of orders that workers carry out seconds later without a response. */
  public void delayOrders(double fraction) {
    instancesByName.values().forEach(instance -> instance.workerStandIn.delayOrders(fraction));
  }

  /** Writes a new version of the configuration that adds or removes an unused queue. */
  public void changeConfig() {
    hasExtraRoute = !hasExtraRoute;
    writeConfig();
  }

  private void writeConfig() {
    configVersion += 1 + random.nextInt(3);
    List<Map<String, Object>> routes = new ArrayList<>();
    routes.add(route(BATCH_QUEUE, BATCH_POOL));
    routes.add(route(LONG_RUNNING_QUEUE, LONG_RUNNING_POOL));
    if (hasExtraRoute) {
      routes.add(route("extra", BATCH_POOL));
    }
    Map<String, Object> config =
        Map.of(
            "version",
            configVersion,
            "routes",
            routes,
            "services",
            List.of(
                service(BATCH_POOL, false),
                service(LONG_RUNNING_POOL, false),
                service(SPARE_POOL, true)),
            "tenants",
            TEAMS.stream().map(PlatformStandIn::team).toList(),
            "limits",
            Map.of());
    store.write(StoreClient.OPERATOR_LOG, "config", Optional.of(Json.encode(config)));
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
        InvariantChecker.MAX_ATTEMPTS,
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
        Map.of("cpu", InvariantChecker.TEAM_CPU_MILLIS, "memMb", 0, "gpus", 0));
  }

  private void tick() {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    instancesByName.values().forEach(instance -> instance.workerStandIn.advance(nowMs));
    loop.schedule(TICK_INTERVAL_MS, this::tick);
  }

  private void sendHeartbeats() {
    if (isClosed) {
      return;
    }
    heartbeatNumber++;
    for (Instance instance : instancesByName.values()) {
      if (!instance.areHeartbeatsSuspended) {
        instance.missedHeartbeats = 0;
        writeRegistryEntry(instance);
      } else if (++instance.missedHeartbeats == MISSED_HEARTBEATS_UNTIL_REMOVAL) {
        instance
            .workerStandIn
            .worker()
            .ifPresent(
                worker ->
                    store.write(StoreClient.WORKER_REGISTRY_LOG, worker.id(), Optional.empty()));
      }
    }
    loop.schedule(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
  }

  private void writeRegistryEntry(Instance instance) {
    Optional<SimulatedWorker> worker = instance.workerStandIn.worker();
    if (worker.isPresent()
        && !store.write(
            StoreClient.WORKER_REGISTRY_LOG,
            worker.get().id(),
            instance.workerStandIn.registryEntry(heartbeatNumber, advertisedAddress))) {
      Logger.debug("standin: event=entry-refused worker={}", worker.get().id());
    }
  }

  /** Stops all servers and timers. */
  @Override
  public void close() {
    isClosed = true;
    instancesByName.values().forEach(instance -> instance.workerStandIn.close());
    instanceService.close();
    store.close();
  }
}
