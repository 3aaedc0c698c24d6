package org.laburnumarch.internal.platform.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.Json;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreRecords;
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

  /** Time from the start of a task that crashes its worker until the process ends. */
  private static final long CRASH_DELAY_MS = 50;

  private static final int MAINTENANCE_DUE_S = 30;

  /** Number of missed heartbeats after which a worker is removed from the registry. */
  private static final int MISSED_HEARTBEATS_UNTIL_REMOVAL = 3;

  /** Pause before a record that the store has rejected is written again. */
  private static final long WRITE_RETRY_MS = 100;

  /** Addresses at which the store, the instance service and the workers listen. */
  public record Addresses(
      InetSocketAddress store, InetSocketAddress instanceService, int firstWorkerPort) {}

  /** An instance, and whether the heartbeats of its worker reach the registry. */
  private static final class Instance {
    private final int number;
    private final String pool;
    private WorkerStandIn workerStandIn;

    /** Takes the place of a worker that leaves; null if none does. */
    private WorkerStandIn replacement;

    private boolean areHeartbeatsSuspended;
    private int missedHeartbeats;

    Instance(int number, String pool, WorkerStandIn workerStandIn) {
      this.number = number;
      this.pool = pool;
      this.workerStandIn = workerStandIn;
    }
  }

  private final PlatformLayout layout;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final Random random;
  private final UnaryOperator<InetSocketAddress> advertisedAddress;
  private final StoreStandIn store;
  private final InstanceServiceStandIn instanceService;
  private final InvariantChecker checker;
  private final Map<String, Instance> instancesByName = new LinkedHashMap<>();
  private final Set<String> evacuatedDataCentres = new HashSet<>();
  private final Deque<WorkerStandIn> replacements = new ArrayDeque<>();
  private int nextWorkerPort;
  private long nextWave = 1;
  private int startedWorkers;
  private long heartbeatNumber;
  private long configVersion;
  private OperatorConfig config;
  private boolean isClosed;

  /**
   * Binds all addresses of a {@linkplain PlatformLayout#small small} platform. Must not be called
   * on the event loop's thread, unlike all other methods.
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
    this(addresses, loop, clock, advertisedAddress, checker, PlatformLayout.small(poolSizes), seed);
  }

  /**
   * Binds all addresses. Must not be called on the event loop's thread, unlike all other methods.
   *
   * @param advertisedAddress maps the address at which a worker listens to the one that the
   *     registry lists for it, for example that of a proxy
   * @throws Exception if an address cannot be bound
   */
  public PlatformStandIn(
      Addresses addresses,
      EventLoopThread loop,
      SuspendAwareClock clock,
      UnaryOperator<InetSocketAddress> advertisedAddress,
      InvariantChecker checker,
      PlatformLayout layout,
      long seed)
      throws Exception {
    this.layout = layout;
    this.config = OperatorConfig.of(layout);
    this.loop = loop;
    this.clock = clock;
    this.random = new Random(seed);
    this.advertisedAddress = advertisedAddress;
    this.checker = checker;
    this.nextWorkerPort = addresses.firstWorkerPort();
    checker.onFatalStart(worker -> loop.schedule(CRASH_DELAY_MS, () -> restartWorker(worker)));
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
    for (Map.Entry<String, Integer> pool : layout.poolSizes().entrySet()) {
      for (int i = 0; i < pool.getValue(); i++) {
        addInstance(pool.getKey(), i);
      }
    }
  }

  private void addInstance(String pool, int number) throws Exception {
    instancesByName.put(
        pool + '-' + number, new Instance(instancesByName.size(), pool, bindWorker()));
  }

  private WorkerStandIn bindWorker() throws Exception {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), nextWorkerPort++);
    return layout.isConcurrent()
        ? WorkerStandIn.concurrent(address, checker, random.nextLong())
        : new WorkerStandIn(address, loop, clock, checker, random.nextLong());
  }

  /**
   * Binds addresses for workers that replace others. Must not be called on the event loop's thread.
   *
   * @throws Exception if an address cannot be bound
   */
  public void bindReplacements(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      replacements.add(bindWorker());
    }
  }

  /** Starts all workers, writes the first configuration and starts the periodic timers. */
  public void start() {
    instancesByName.forEach(
        (instanceName, instance) ->
            instanceService.addInstance(
                instanceName, instance.pool, layout.profile(instance.number, 1)));
    writeConfig();
    if (!layout.isConcurrent()) {
      tick();
    }
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

  /** Returns the addresses of the workers in a pool. */
  public List<InetSocketAddress> workerAddresses(String pool) {
    return instancesByName.values().stream()
        .map(instance -> instance.workerStandIn)
        .filter(standIn -> standIn.worker().filter(it -> it.service().equals(pool)).isPresent())
        .map(WorkerStandIn::address)
        .toList();
  }

  /** Writes the registry entry of an instance's worker without some fields, as another process. */
  public void writeEntryWithout(String instanceName, Collection<String> fields) {
    WorkerStandIn workerStandIn = instancesByName.get(instanceName).workerStandIn;
    Optional<byte[]> entry = workerStandIn.registryEntry(heartbeatNumber, advertisedAddress);
    if (entry.isPresent()) {
      ObjectNode root = (ObjectNode) HttpBodies.parseJson(entry.get());
      root.remove(fields);
      String id = workerStandIn.worker().orElseThrow().id();
      store.write(StoreClient.WORKER_REGISTRY_LOG, id, Optional.of(Json.encode(root)));
    }
  }

  private String startWorker(String instanceName, String pool) {
    if (pool.equals(layout.sparePool())) {
      return "";
    }
    String id = "w" + startedWorkers++;
    double minClockRate = layout.minClockRate();
    double clockRate = minClockRate + (1 - minClockRate) * random.nextDouble();
    Instance instance = instancesByName.get(instanceName);
    SimulatedWorker worker =
        new SimulatedWorker(
            id,
            pool,
            layout.profile(instance.number, startedWorkers),
            clock.nowMs(),
            clockRate,
            checker);
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
            worker ->
                writeUntilAccepted(StoreClient.WORKER_REGISTRY_LOG, worker.id(), Optional::empty));
    workerStandIn.terminateWorker(clock.nowMs());
  }

  /** Returns the workers that take new tasks. */
  public List<SimulatedWorker> readyWorkers() {
    return instancesByName.values().stream()
        .flatMap(instance -> instance.workerStandIn.worker().stream())
        .filter(worker -> !worker.isLeaving())
        .filter(worker -> !evacuatedDataCentres.contains(worker.dataCentre()))
        .toList();
  }

  /** Requests that nothing more starts in a data centre, or takes the request back. */
  public void toggleEvacuation(String dataCentre) {
    if (!evacuatedDataCentres.add(dataCentre)) {
      evacuatedDataCentres.remove(dataCentre);
    }
    writeUntilAccepted(
        StoreClient.OPERATOR_LOG,
        StoreRecords.EVACUATION_PREFIX + dataCentre,
        () ->
            evacuatedDataCentres.contains(dataCentre)
                ? Optional.of(Json.encode(Map.of()))
                : Optional.empty());
  }

  /**
   * Makes an instance's worker announce that it leaves in {@code remainingMs} or later; returns
   * false if the instance has none, or if no address for another one is left.
   */
  public boolean announceLeave(String instanceName, long remainingMs) {
    if (replacements.isEmpty() || !instanceService.onWorkerLeaving(instanceName)) {
      return false;
    }
    Instance instance = instancesByName.get(instanceName);
    instance.replacement = replacements.remove();
    instance
        .workerStandIn
        .worker()
        .ifPresent(worker -> worker.announceLeave(clock.nowMs() + remainingMs));
    writeRegistryEntry(instance);
    return true;
  }

  /**
   * Removes a worker that has announced it; its address, which is returned, refuses connections.
   */
  public InetSocketAddress removeWorker(String instanceName) {
    WorkerStandIn left = instancesByName.get(instanceName).workerStandIn;
    instanceService.removeWorker(instanceName);
    left.close();
    return left.address();
  }

  /**
   * Ends a worker without an announcement. The registry lists it until heartbeats are missed; its
   * address, which is returned, refuses connections. Empty if the instance has no worker, or if no
   * address for another one is left.
   */
  public Optional<InetSocketAddress> crashWorker(String instanceName) {
    if (replacements.isEmpty() || !instanceService.onWorkerLeaving(instanceName)) {
      return Optional.empty();
    }
    Instance instance = instancesByName.get(instanceName);
    instance.replacement = replacements.remove();
    unlistLater(instance);
    return Optional.of(removeWorker(instanceName));
  }

  private void unlistLater(Instance instance) {
    String id = instance.workerStandIn.worker().orElseThrow().id();
    instance.workerStandIn.terminateWorker(clock.nowMs());
    loop.schedule(
        MISSED_HEARTBEATS_UNTIL_REMOVAL * HEARTBEAT_INTERVAL_MS,
        () -> writeUntilAccepted(StoreClient.WORKER_REGISTRY_LOG, id, Optional::empty));
  }

  /**
   * Ends a worker of each pool without an announcement; {@link #replaceWorker} starts others at
   * swapped addresses. Returns the instances; none if a pool has no worker.
   */
  public List<String> crashAndSwap(String firstPool, String secondPool) {
    List<String> ended =
        Stream.of(firstPool, secondPool)
            .flatMap(pool -> instancesWithWorkerOf(pool).limit(1))
            .toList();
    if (ended.size() < 2) {
      return List.of();
    }
    Instance first = instancesByName.get(ended.get(0));
    Instance second = instancesByName.get(ended.get(1));
    first.replacement = second.workerStandIn;
    second.replacement = first.workerStandIn;
    for (String instanceName : ended) {
      instanceService.onWorkerLeaving(instanceName);
      unlistLater(instancesByName.get(instanceName));
      instanceService.removeWorker(instanceName);
    }
    return ended;
  }

  private Stream<String> instancesWithWorkerOf(String pool) {
    return instancesWithWorker().stream()
        .filter(name -> !instanceService.isWorkerLeaving(name))
        .filter(
            name ->
                instancesByName
                    .get(name)
                    .workerStandIn
                    .worker()
                    .orElseThrow()
                    .service()
                    .equals(pool));
  }

  /** Starts a worker under another id and address on an instance whose worker was removed. */
  public void replaceWorker(String instanceName) {
    Instance instance = instancesByName.get(instanceName);
    instance.workerStandIn = instance.replacement;
    instance.replacement = null;
    instanceService.replaceWorker(instanceName);
  }

  /** Orders the maintenance of instances, {@code maxCount} at a time. */
  public void orderMaintenance(List<String> instanceNames, int maxCount) {
    long wave = nextWave++;
    Map<String, Object> order =
        Map.of(
            "wave", wave,
            "machines", instanceNames,
            "completeByS", MAINTENANCE_DUE_S,
            "maxCount", maxCount);
    byte[] encoded = Json.encode(order);
    writeUntilAccepted(StoreClient.OPERATOR_LOG, "wave/" + wave, () -> Optional.of(encoded));
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

  private void restartWorker(SimulatedWorker worker) {
    instancesWithWorker().stream()
        .filter(name -> instanceService.workerOf(name).equals(worker.id()))
        .forEach(this::restartWorker);
  }

  /** Suspends or resumes the heartbeats that renew a worker's entry in the registry. */
  public void setHeartbeatsSuspended(String instanceName, boolean isSuspended) {
    instancesByName.get(instanceName).areHeartbeatsSuspended = isSuspended;
  }

  /** Sets the fraction of orders that workers carry out seconds later without a response. */
  public void delayOrders(double fraction) {
    instancesByName.values().forEach(instance -> instance.workerStandIn.delayOrders(fraction));
  }

  /** Makes the reports of all workers state a time that is later than that of their lists. */
  public void setReportsSlow(boolean areSlow) {
    instancesByName.values().forEach(instance -> instance.workerStandIn.setReportsSlow(areSlow));
  }

  /** Makes the reports of all workers list running tasks of a later time than ended runs. */
  public void setReportsSplit(boolean areSplit) {
    instancesByName.values().forEach(instance -> instance.workerStandIn.setReportsSplit(areSplit));
  }

  /** Returns the first configuration. */
  public OperatorConfig initialConfig() {
    return OperatorConfig.of(layout);
  }

  /** Writes a new version of the configuration. */
  public void changeConfig(UnaryOperator<OperatorConfig> change) {
    config = change.apply(config);
    writeConfig();
  }

  private void writeConfig() {
    configVersion += 1 + random.nextInt(3);
    checker.onConfigWritten(config);
    writeUntilAccepted(
        StoreClient.OPERATOR_LOG, "config", () -> Optional.of(config.encode(configVersion)));
  }

  /**
   * Writes a record of the operators or of the registry, again after a pause if the store rejects
   * it.
   *
   * @param value supplies the newest value of the record
   */
  private void writeUntilAccepted(String log, String key, Supplier<Optional<byte[]>> value) {
    if (!isClosed && !store.write(log, key, value.get())) {
      loop.schedule(WRITE_RETRY_MS, () -> writeUntilAccepted(log, key, value));
    }
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
    instancesByName.values().stream()
        .flatMap(instance -> Optional.ofNullable(instance.replacement).stream())
        .forEach(WorkerStandIn::close);
    replacements.forEach(WorkerStandIn::close);
    instanceService.close();
    store.close();
  }
}
