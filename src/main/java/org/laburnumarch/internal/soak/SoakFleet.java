package org.laburnumarch.internal.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.DaemonSettingsFile;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.platform.standin.PlatformLayout;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Runs daemon processes and a simulated platform, with proxies on the paths from the daemons to the
 * store and to the workers.
 */
final class SoakFleet implements AutoCloseable {

  // Offsets from the first port of the run.
  private static final int INSTANCE_SERVICE_PORT_OFFSET = 1;
  private static final int FIRST_STORE_PROXY_PORT_OFFSET = 2;
  private static final int CALLER_PORT_OFFSET = 50;
  private static final int READINESS_PORT_OFFSET = 51;
  private static final int LINK_PORT_OFFSET = 60;
  private static final int FIRST_WORKER_PORT_OFFSET = 100;
  private static final int FIRST_WORKER_PROXY_PORT_OFFSET = 200;

  /** Last byte of the first daemon's loopback IP address. */
  private static final int FIRST_DAEMON_HOST = 10;

  /** Longest time that a leaving worker announces; it may stay half as long again. */
  private static final int MAX_REMAINING_MS = 3_000;

  /** Longest time between the end of a worker and the start of its replacement. */
  private static final int MAX_ABSENT_MS = 4_000;

  /** Shortest time until an address is used again. */
  private static final long MIN_REUSE_MS = 2_000;

  /**
   * The path of connections between daemons.
   *
   * @param from the daemon that connects
   * @param to the daemon that accepts
   */
  private record Link(DaemonProcess from, DaemonProcess to) {}

  private final EventLoopThread loop;
  private final PlatformLayout layout;
  private final int firstPort;
  private final PlatformStandIn platform;
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private final Map<DaemonProcess, LoopbackProxy> storeProxies = new LinkedHashMap<>();
  private final Map<Link, LoopbackProxy> linkProxies = new LinkedHashMap<>();
  private final Map<InetSocketAddress, InetSocketAddress> proxyAddresses = new HashMap<>();
  private final Map<InetSocketAddress, LoopbackProxy> workerProxies = new LinkedHashMap<>();
  private final RollingRestarts restarts;
  private int pendingSteps;
  private boolean isClosed;

  /** Prepares a fleet on a small platform. */
  SoakFleet(
      Path directory,
      int firstPort,
      int daemonCount,
      EventLoopThread loop,
      SuspendAwareClock clock,
      InvariantChecker checker,
      long seed)
      throws Exception {
    this(
        directory,
        firstPort,
        daemonCount,
        loop,
        clock,
        checker,
        SoakLoad.SHORT_TASKS.layout(),
        false,
        seed);
  }

  /**
   * Binds all addresses and writes the daemons' settings; starts no process. Must not be called on
   * the event loop's thread.
   *
   * @param directory for settings and logs
   * @param firstPort first of 300 free ports
   * @param hasLinkProxies whether daemons connect to each other through proxies, which accept
   *     connections to a daemon that does not run
   * @throws Exception if an address cannot be bound or a file cannot be written
   */
  SoakFleet(
      Path directory,
      int firstPort,
      int daemonCount,
      EventLoopThread loop,
      SuspendAwareClock clock,
      InvariantChecker checker,
      PlatformLayout layout,
      boolean hasLinkProxies,
      long seed)
      throws Exception {
    this.loop = loop;
    this.layout = layout;
    this.firstPort = firstPort;
    InetSocketAddress store = new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort);
    InetSocketAddress instanceService =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), firstPort + INSTANCE_SERVICE_PORT_OFFSET);
    int workers = layout.instances();
    for (int number = 0; number < workers; number++) {
      addWorkerProxy();
    }
    this.platform =
        new PlatformStandIn(
            new PlatformStandIn.Addresses(
                store, instanceService, firstPort + FIRST_WORKER_PORT_OFFSET),
            loop,
            clock,
            address -> proxyAddresses.getOrDefault(address, address),
            checker,
            layout,
            seed);
    for (int number = 0; number < daemonCount; number++) {
      addDaemon(directory, firstPort, number, store, instanceService, hasLinkProxies);
    }
    if (hasLinkProxies) {
      addLinkProxies(directory);
    }
    this.restarts = new RollingRestarts(daemons, this::start, loop, clock);
  }

  private void addWorkerProxy() throws InterruptedException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    int number = workerProxies.size();
    InetSocketAddress worker =
        new InetSocketAddress(loopback, firstPort + FIRST_WORKER_PORT_OFFSET + number);
    InetSocketAddress proxy =
        new InetSocketAddress(loopback, firstPort + FIRST_WORKER_PROXY_PORT_OFFSET + number);
    workerProxies.put(worker, new LoopbackProxy(proxy, worker, loop.group()));
    proxyAddresses.put(worker, proxy);
  }

  /**
   * Binds addresses and proxies for workers that replace others. Must not be called on the event
   * loop's thread.
   *
   * @throws Exception if an address cannot be bound
   */
  void bindReplacements(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      addWorkerProxy();
    }
    platform.bindReplacements(count);
  }

  private void addDaemon(
      Path directory,
      int firstPort,
      int number,
      InetSocketAddress store,
      InetSocketAddress instanceService,
      boolean hasLinkProxies)
      throws IOException, InterruptedException {
    String name = "daemon-" + number;
    String ip = ip(0, number);
    InetSocketAddress storeProxyAddress =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), firstPort + FIRST_STORE_PROXY_PORT_OFFSET + number);
    Path settings = directory.resolve(name + ".json");
    DaemonSettingsFile.write(
        settings,
        new DaemonSettingsFile.DaemonAddresses(
            name,
            ip,
            hasLinkProxies ? name : ip,
            firstPort + CALLER_PORT_OFFSET,
            firstPort + READINESS_PORT_OFFSET,
            firstPort + LINK_PORT_OFFSET,
            storeProxyAddress,
            instanceService),
        layout.dataCentres().get(number % layout.dataCentres().size()),
        layout.stopTimeoutMs());
    DaemonProcess daemon =
        new DaemonProcess(
            name,
            settings,
            directory.resolve(name + ".log"),
            new InetSocketAddress(ip, firstPort + CALLER_PORT_OFFSET),
            new InetSocketAddress(ip, firstPort + READINESS_PORT_OFFSET));
    daemons.add(daemon);
    storeProxies.put(daemon, new LoopbackProxy(storeProxyAddress, store, loop.group()));
  }

  private static String ip(int network, int daemon) {
    return "127.0." + network + '.' + (FIRST_DAEMON_HOST + daemon);
  }

  /** Gives each daemon addresses of its own for all others, which the names in the store hide. */
  private void addLinkProxies(Path directory) throws IOException, InterruptedException {
    int port = firstPort + LINK_PORT_OFFSET;
    for (int from = 0; from < daemons.size(); from++) {
      List<String> hosts = new ArrayList<>();
      for (int to = 0; to < daemons.size(); to++) {
        DaemonProcess daemon = daemons.get(to);
        String proxyIp = ip(from == to ? 0 : 1 + from, to);
        hosts.add(proxyIp + ' ' + daemon.name());
        if (from != to) {
          linkProxies.put(
              new Link(daemons.get(from), daemon),
              new LoopbackProxy(
                  new InetSocketAddress(proxyIp, port),
                  new InetSocketAddress(ip(0, to), port),
                  loop.group()));
        }
      }
      Path hostsFile = directory.resolve(daemons.get(from).name() + ".hosts");
      Files.write(hostsFile, hosts);
      daemons.get(from).useHostsFile(hostsFile);
    }
  }

  /** Returns the proxies between daemons; empty if the fleet has none. */
  List<LoopbackProxy> linkProxies() {
    return List.copyOf(linkProxies.values());
  }

  /** Returns the proxies on the paths from a daemon to others and back. */
  List<LoopbackProxy> linkProxies(DaemonProcess daemon, Predicate<DaemonProcess> others) {
    return linkProxies.entrySet().stream()
        .filter(
            link ->
                (link.getKey().from() == daemon && others.test(link.getKey().to()))
                    || (link.getKey().to() == daemon && others.test(link.getKey().from())))
        .map(Map.Entry::getValue)
        .toList();
  }

  List<LoopbackProxy> storeProxies() {
    return List.copyOf(storeProxies.values());
  }

  PlatformStandIn platform() {
    return platform;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  LoopbackProxy storeProxy(DaemonProcess daemon) {
    return storeProxies.get(daemon);
  }

  List<LoopbackProxy> workerProxies() {
    return List.copyOf(workerProxies.values());
  }

  /** Returns how many addresses are left for workers that replace others. */
  int freeWorkerAddresses() {
    // The last port of the range keeps it reserved.
    return FIRST_WORKER_PROXY_PORT_OFFSET - FIRST_WORKER_PORT_OFFSET - layout.instances() - 1;
  }

  /** Returns the pools whose instances run workers. */
  List<String> servingPools() {
    return layout.poolSizes().keySet().stream()
        .filter(pool -> !pool.equals(layout.sparePool()))
        .sorted()
        .toList();
  }

  String firstDataCentre() {
    return layout.dataCentres().get(0);
  }

  /** Returns the proxies of the workers in a pool. */
  List<LoopbackProxy> workerProxies(String pool) {
    return platform.workerAddresses(pool).stream().map(workerProxies::get).toList();
  }

  /** Executes a later step of an event, unless the run is closed by then. */
  void after(long delayMs, Runnable step) {
    pendingSteps++;
    loop.schedule(
        delayMs,
        () -> {
          pendingSteps--;
          if (!isClosed) {
            step.run();
          }
        });
  }

  /** Returns whether no step of an event is outstanding and no daemon restarts. */
  boolean isQuiet() {
    return pendingSteps == 0 && restarts.isIdle();
  }

  RollingRestarts restarts() {
    return restarts;
  }

  /**
   * Makes an instance's worker announce that it leaves, removes it some time later, and starts
   * another one in its place. The old address and its proxy refuse connections afterwards.
   */
  void replaceWorker(String instanceName, Random random) {
    long remainingMs = 1L + random.nextInt(MAX_REMAINING_MS);
    long extraMs = random.nextInt(MAX_REMAINING_MS / 2);
    long absentMs = 1L + random.nextInt(MAX_ABSENT_MS);
    if (!platform.announceLeave(instanceName, remainingMs)) {
      return;
    }
    Logger.info("soak: the worker of {} leaves after {} ms", instanceName, remainingMs + extraMs);
    loop.schedule(
        remainingMs + extraMs,
        () -> {
          if (isClosed) {
            return;
          }
          Logger.info("soak: the worker of {} has left", instanceName);
          LoopbackProxy proxy = workerProxies.get(platform.removeWorker(instanceName));
          if (proxy != null) {
            proxy.close();
          }
          loop.schedule(absentMs, () -> platform.replaceWorker(instanceName));
        });
  }

  /**
   * Ends an instance's worker and its address without an announcement, and starts another one in
   * its place some time later.
   */
  void crashWorker(String instanceName, Random random) {
    long absentMs = 1L + random.nextInt(MAX_ABSENT_MS);
    platform
        .crashWorker(instanceName)
        .ifPresent(
            address -> {
              workerProxies.get(address).close();
              after(absentMs, () -> platform.replaceWorker(instanceName));
            });
  }

  /**
   * Ends a worker of each pool without an announcement, and some time later starts others, each at
   * the address of the other pool's worker.
   */
  void swapWorkers(String firstPool, String secondPool, Random random) {
    long absentMs = MIN_REUSE_MS + random.nextInt(MAX_ABSENT_MS);
    platform
        .crashAndSwap(firstPool, secondPool)
        .forEach(instance -> after(absentMs, () -> platform.replaceWorker(instance)));
  }

  /** Takes the last daemons out of service, so that they can replace others. */
  void setAside(int count) {
    daemons
        .subList(daemons.size() - count, daemons.size())
        .forEach(daemon -> daemon.setInService(false));
  }

  /** Returns a daemon that was set aside and is unused. */
  Optional<DaemonProcess> spareDaemon() {
    return daemons.stream().filter(DaemonProcess::isSpare).findFirst();
  }

  /** Finds the local ports of all daemons' connections, on another thread, and passes them on. */
  void listConnections(Consumer<Map<Integer, DaemonProcess>> listener) {
    CompletableFuture<Void> unused =
        CompletableFuture.supplyAsync(() -> DaemonProcess.ownersOfLocalPorts(daemons))
            .thenAccept(owners -> loop.execute(() -> listener.accept(owners)));
  }

  DaemonProcess randomDaemon(Random random) {
    List<DaemonProcess> candidates = daemons.stream().filter(DaemonProcess::isInService).toList();
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Returns the daemon that the ownership record in the store names. */
  Optional<DaemonProcess> owner() {
    return platform
        .store()
        .model()
        .value(StoreClient.OWNERSHIP_LOG, "owner")
        .flatMap(SoakFleet::holder)
        .flatMap(
            holder ->
                daemons.stream()
                    .filter(daemon -> holder.startsWith(daemon.name() + '/'))
                    .findFirst());
  }

  /** Returns the owner, or a random daemon if the store names none. */
  DaemonProcess ownerOrRandom(Random random) {
    return owner().orElseGet(() -> randomDaemon(random));
  }

  private static Optional<String> holder(byte[] record) {
    try {
      return Optional.of(OwnerRecord.decode(record).holder());
    } catch (IOException e) {
      Logger.warn("soak: the ownership record cannot be read: {}", e.getMessage());
      return Optional.empty();
    }
  }

  /** Starts a daemon unless it runs or the run is closed. */
  void start(DaemonProcess daemon) {
    if (isClosed) {
      return;
    }
    try {
      daemon.start();
    } catch (IOException e) {
      throw new IllegalStateException(daemon.name() + " cannot be started", e);
    }
  }

  /** Kills all processes and stops the proxies and the platform. */
  @Override
  public void close() {
    isClosed = true;
    restarts.close();
    daemons.forEach(DaemonProcess::close);
    storeProxies.values().forEach(LoopbackProxy::close);
    linkProxies.values().forEach(LoopbackProxy::close);
    workerProxies.values().forEach(LoopbackProxy::close);
    platform.close();
  }
}
