package org.laburnumarch.internal.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.DaemonSettingsFile;
import org.laburnumarch.internal.platform.standin.FleetStandIn;
import org.laburnumarch.internal.platform.standin.PromiseJudge;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/** Daemons as processes, the platform of stand-ins, and a proxy on each path between them. */
final class SoakFleet implements AutoCloseable {

  // Offsets from the first port of the soak.
  private static final int INSTANCES = 1;
  private static final int STORE_PATHS = 2;
  private static final int CALLERS = 50;
  private static final int READINESS = 51;
  private static final int LINKS = 60;
  private static final int WORKERS = 100;
  private static final int WORKER_PATHS = 200;

  /** Last part of the loopback number of the first daemon. */
  private static final int FIRST_DAEMON_IP = 10;

  private static final Map<String, Integer> POOL_SIZES =
      Map.of(FleetStandIn.DESK, 5, FleetStandIn.YARD, 4, FleetStandIn.RESERVE, 4);

  private final HttpLoop loop;
  private final FleetStandIn platform;
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private final Map<DaemonProcess, LoopbackProxy> storePaths = new LinkedHashMap<>();
  private final Map<InetSocketAddress, InetSocketAddress> exposed = new HashMap<>();
  private final List<LoopbackProxy> workerPaths = new ArrayList<>();
  private boolean isClosed;

  /**
   * Binds all addresses and writes the daemons' settings; starts no process. Not to be called on
   * the loop's thread.
   *
   * @param directory for settings and logs
   * @param firstPort first of 300 free ports
   * @throws Exception if an address cannot be bound or a file cannot be written
   */
  SoakFleet(
      Path directory,
      int firstPort,
      int daemonCount,
      HttpLoop loop,
      LocalClock clock,
      PromiseJudge judge,
      long seed)
      throws Exception {
    this.loop = loop;
    InetSocketAddress store = new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort);
    InetSocketAddress instances =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + INSTANCES);
    int workers = POOL_SIZES.values().stream().mapToInt(Integer::intValue).sum();
    for (int i = 0; i < workers; i++) {
      InetSocketAddress real =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + WORKERS + i);
      InetSocketAddress path =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + WORKER_PATHS + i);
      workerPaths.add(new LoopbackProxy(path, real, loop.group()));
      exposed.put(real, path);
    }
    this.platform =
        new FleetStandIn(
            new FleetStandIn.Addresses(store, instances, firstPort + WORKERS),
            loop,
            clock,
            exposed::get,
            judge,
            POOL_SIZES,
            seed);
    for (int i = 0; i < daemonCount; i++) {
      addDaemon(directory, firstPort, i, store, instances);
    }
  }

  private void addDaemon(
      Path directory, int firstPort, int i, InetSocketAddress store, InetSocketAddress instances)
      throws IOException, InterruptedException {
    String name = "daemon-" + i;
    String ip = "127.0.0." + (FIRST_DAEMON_IP + i);
    InetSocketAddress storePath =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + STORE_PATHS + i);
    Path settings = directory.resolve(name + ".json");
    DaemonSettingsFile.write(
        settings,
        new DaemonSettingsFile.Place(
            name,
            ip,
            firstPort + CALLERS,
            firstPort + READINESS,
            firstPort + LINKS,
            storePath,
            instances));
    DaemonProcess daemon =
        new DaemonProcess(
            name,
            settings,
            directory.resolve(name + ".log"),
            new InetSocketAddress(ip, firstPort + CALLERS));
    daemons.add(daemon);
    storePaths.put(daemon, new LoopbackProxy(storePath, store, loop.group()));
  }

  FleetStandIn platform() {
    return platform;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  LoopbackProxy storePath(DaemonProcess daemon) {
    return storePaths.get(daemon);
  }

  List<LoopbackProxy> workerPaths() {
    return workerPaths;
  }

  DaemonProcess any(Random random) {
    return daemons.get(random.nextInt(daemons.size()));
  }

  /** Returns the daemon that the store names as owner. */
  Optional<DaemonProcess> owner() {
    return platform
        .store()
        .model()
        .value(StoreClient.OWNER, "owner")
        .flatMap(SoakFleet::holder)
        .flatMap(
            holder ->
                daemons.stream()
                    .filter(daemon -> holder.startsWith(daemon.name() + '/'))
                    .findFirst());
  }

  /** Returns the owner, or any daemon if the store names none. */
  DaemonProcess ownerOrAny(Random random) {
    return owner().orElseGet(() -> any(random));
  }

  private static Optional<String> holder(byte[] record) {
    try {
      return Optional.of(OwnerRecord.decode(record).holder());
    } catch (IOException e) {
      Logger.warn("soak: the ownership record cannot be read: {}", e.getMessage());
      return Optional.empty();
    }
  }

  /** Starts a daemon unless it runs or the soak is over. */
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

  /** Ends all processes and closes all addresses. */
  @Override
  public void close() {
    isClosed = true;
    daemons.forEach(DaemonProcess::close);
    storePaths.values().forEach(LoopbackProxy::close);
    workerPaths.forEach(LoopbackProxy::close);
    platform.close();
  }
}
