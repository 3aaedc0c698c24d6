package org.laburnumarch.internal.soak;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.PlatformStandIn;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;
import org.tinylog.Logger;

/** Faults of deployments, for series of a few events with calm spans between them. */
enum IsolatedFault implements SoakEvent {
  /** Cuts the paths to some workers, which run on, and often strikes the owner during the cut. */
  CUT_WORKERS(1_500, 6_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      Mode mode = randomCut(random);
      return cut(fleet, random, mode, proxy -> proxy.setMode(mode));
    }
  },
  /** Cuts the paths of the owner alone to some workers; other daemons reach them. */
  CUT_WORKERS_FROM_OWNER(1_500, 6_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      DaemonProcess owner = fleet.ownerOrRandom(random);
      Mode mode = random.nextBoolean() ? Mode.RESET : Mode.SILENT;
      Set<Integer> ports = new HashSet<>();
      Predicate<InetSocketAddress> isOwner =
          caller ->
              ports.contains(caller.getPort())
                  || (ports.addAll(owner.localPorts()) && ports.contains(caller.getPort()));
      return cut(fleet, random, mode, proxy -> proxy.setMode(mode, isOwner));
    }
  },
  /** Sends SIGTERM to one owner after the other while workers leave as announced. */
  STOP_OWNERS_WHILE_WORKERS_LEAVE(5_000, 10_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      someInstances(fleet, 1 + random.nextInt(4), random)
          .forEach(instance -> fleet.replaceWorker(instance, random));
      AtomicBoolean hasEnded = new AtomicBoolean();
      stopOwners(fleet, new Random(random.nextLong()), hasEnded);
      return () -> hasEnded.set(true);
    }
  },
  /** Resets all open connections to workers, either at once or after the next request of each. */
  RESET_CONNECTIONS(1, 1_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      boolean isAfterRequest = random.nextBoolean();
      fleet.workerProxies().forEach(proxy -> proxy.resetConnections(isAfterRequest));
      return () -> {};
    }
  },
  /** Holds back the answers of some workers; requests reach them at once. */
  DELAY_ANSWERS(1_500, 6_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<LoopbackProxy> proxies = someWorkers(fleet, random);
      proxies.forEach(proxy -> proxy.delayAnswers(between(300, 3_000, random)));
      return () -> forward(proxies);
    }
  },
  /** Loses the answers on half of the connections to some workers, which execute the requests. */
  LOSE_ANSWERS(1_500, 6_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<LoopbackProxy> proxies = someWorkers(fleet, random);
      proxies.forEach(proxy -> proxy.setMode(Mode.LOSE_ANSWERS));
      return () -> forward(proxies);
    }
  },
  /** Makes the store reject calls for the log of jobs and serve all other logs. */
  JOB_LOG_DOWN(2_000, 8_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().store().refuseLog(StoreClient.JOB_LOG);
      return () -> fleet.platform().store().serveLog(StoreClient.JOB_LOG);
    }
  },
  /** Cuts the owner from the store, so that another daemon takes over and it comes back later. */
  CUT_OWNER_FROM_STORE(2_000, 7_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      LoopbackProxy proxy = fleet.storeProxy(fleet.ownerOrRandom(random));
      Mode mode = randomCut(random);
      Logger.info("soak: {} of the path to the store: {}", mode, proxy);
      proxy.setMode(mode);
      return () -> proxy.setMode(Mode.FORWARD);
    }
  },
  /** Writes entries to the registry as a process that is no worker, one under a worker's id. */
  FOREIGN_REGISTRY_ENTRIES(1_500, 3_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      for (int i = 0; i < FOREIGN_ENTRIES.size(); i++) {
        writeEntry(
            fleet,
            "foreign" + i,
            Optional.of(FOREIGN_ENTRIES.get(i).getBytes(StandardCharsets.UTF_8)));
      }
      someInstances(fleet, 1, random)
          .forEach(instance -> fleet.platform().writeEntryWithout(instance, missingFields(random)));
      return () -> {
        for (int i = 0; i < FOREIGN_ENTRIES.size(); i++) {
          writeEntry(fleet, "foreign" + i, Optional.empty());
        }
      };
    }
  },
  /** Ends up to three workers for good, without an announcement; others take their places. */
  CRASH_WORKERS(200, 2_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      someInstances(fleet, 1 + random.nextInt(3), random)
          .forEach(instance -> fleet.crashWorker(instance, random));
      return () -> {};
    }
  };

  private static final List<String> FOREIGN_ENTRIES =
      List.of(
          "{}",
          "[]",
          "no JSON",
          "{\"service\":\"" + PlatformStandIn.BATCH_POOL + "\",\"state\":\"ready\"}",
          "{\"service\":7,\"address\":[],\"zone\":null,\"state\":\"ready\",\"capacity\":\"8\"}");

  private static final double WORKER_SHARE = 0.17;

  /** Time until a killed daemon is started again. */
  private static final long RESTART_MS = 700;

  private final int minMs;
  private final int maxMs;

  IsolatedFault(int minMs, int maxMs) {
    this.minMs = minMs;
    this.maxMs = maxMs;
  }

  @Override
  public long durationMs(Random random) {
    return between(minMs, maxMs, random);
  }

  private static long between(int minMs, int maxMs, Random random) {
    return minMs + (long) random.nextInt(maxMs - minMs);
  }

  private static Mode randomCut(Random random) {
    return List.of(Mode.REFUSE, Mode.RESET, Mode.SILENT).get(random.nextInt(3));
  }

  /** Returns what another writer leaves out of a worker's entry, at times also what is required. */
  private static List<String> missingFields(Random random) {
    List<String> fields = new ArrayList<>(List.of("version", "slots", "coldLeftMs", "seq"));
    if (random.nextBoolean()) {
      fields.addAll(List.of("capacity", "labels", "born"));
    }
    return fields;
  }

  /** Returns the proxies of a share of the workers, or of all workers in one pool. */
  static List<LoopbackProxy> someWorkers(SoakFleet fleet, Random random) {
    List<String> pools = fleet.servingPools();
    if (random.nextBoolean()) {
      return fleet.workerProxies(pools.get(random.nextInt(pools.size())));
    }
    List<LoopbackProxy> all = new ArrayList<>();
    pools.forEach(pool -> all.addAll(fleet.workerProxies(pool)));
    Collections.shuffle(all, random);
    return all.subList(0, (int) Math.ceil(all.size() * WORKER_SHARE));
  }

  private static List<String> someInstances(SoakFleet fleet, int count, Random random) {
    List<String> instances = new ArrayList<>(fleet.platform().instancesWithWorker());
    Collections.shuffle(instances, random);
    return instances.subList(0, Math.min(count, instances.size()));
  }

  private static Runnable cut(
      SoakFleet fleet, Random random, Mode mode, Consumer<LoopbackProxy> cutter) {
    List<LoopbackProxy> proxies = someWorkers(fleet, random);
    Logger.info("soak: {} of {} workers: {}", mode, proxies.size(), proxies);
    proxies.forEach(cutter);
    String signal = List.of("TERM", "KILL", "STOP", "").get(random.nextInt(4));
    long pauseMs = between(2_000, 6_500, random);
    fleet.after(random.nextInt(1_500), () -> signalOwner(fleet, signal, pauseMs));
    return () -> forward(proxies);
  }

  private static void forward(List<LoopbackProxy> proxies) {
    proxies.forEach(proxy -> proxy.setMode(Mode.FORWARD));
  }

  private static void signalOwner(SoakFleet fleet, String signal, long pauseMs) {
    Optional<DaemonProcess> owner = fleet.owner();
    if (owner.isEmpty() || signal.isEmpty()) {
      return;
    }
    DaemonProcess daemon = owner.get();
    Logger.info("soak: SIG{} for the owner {}", signal, daemon.name());
    switch (signal) {
      case "TERM" -> fleet.restarts().restart(daemon);
      case "KILL" -> {
        daemon.kill();
        fleet.after(RESTART_MS, () -> fleet.start(daemon));
      }
      case "STOP" -> {
        daemon.pause();
        fleet.after(pauseMs, daemon::resume);
      }
      default -> throw new IllegalArgumentException(signal);
    }
  }

  private static void stopOwners(SoakFleet fleet, Random random, AtomicBoolean hasEnded) {
    if (hasEnded.get()) {
      return;
    }
    fleet.owner().ifPresent(fleet.restarts()::restart);
    fleet.after(between(1_000, 1_300, random), () -> stopOwners(fleet, random, hasEnded));
  }

  private static void writeEntry(SoakFleet fleet, String id, Optional<byte[]> entry) {
    boolean unused = fleet.platform().store().write(StoreClient.WORKER_REGISTRY_LOG, id, entry);
  }
}
