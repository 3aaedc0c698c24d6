package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;
import org.tinylog.Logger;

/** Faults of connections that no end is told of. */
enum ConnectionFault implements SoakEvent {
  /** All open connections to workers forward nothing more; new ones work. */
  SILENCE_WORKER_CONNECTIONS(1, 500) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return silence(fleet.workerProxies());
    }
  },
  /** All open connections to the store forward nothing more; new ones work. */
  SILENCE_STORE_CONNECTIONS(1, 500) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return silence(fleet.storeProxies());
    }
  },
  /** All open connections between daemons forward nothing more; new ones work. */
  SILENCE_LINKS(1, 500) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return silence(fleet.linkProxies());
    }
  },
  /** All open connections forward nothing more; new ones work. */
  SILENCE_ALL_CONNECTIONS(1, 500) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      silence(fleet.workerProxies());
      silence(fleet.storeProxies());
      return silence(fleet.linkProxies());
    }
  },
  /** Cuts the owner from the store, the workers and all other daemons. */
  CUT_OWNER(1_500, 7_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return cutDaemons(fleet, List.of(fleet.ownerOrRandom(random)));
    }
  },
  /** Cuts a third of the daemons from the store, the workers and all other daemons. */
  CUT_DAEMONS(1_500, 7_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return cutDaemons(
          fleet, fleet.daemons().stream().filter(daemon -> random.nextInt(3) == 0).toList());
    }
  },
  /** Cuts the owner from some other daemons alone. */
  CUT_LINKS_OF_OWNER(1_500, 7_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      DaemonProcess owner = fleet.ownerOrRandom(random);
      List<DaemonProcess> others =
          fleet.daemons().stream().filter(daemon -> random.nextBoolean()).toList();
      Logger.info("soak: {} is cut from {} daemons", owner.name(), others.size());
      return cut(fleet.linkProxies(owner, others::contains));
    }
  },
  /** Cuts some workers from all daemons. */
  CUT_WORKERS(1_500, 7_000) {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<LoopbackProxy> proxies = IsolatedFault.someWorkers(fleet, random);
      Logger.info("soak: {} workers are cut: {}", proxies.size(), proxies);
      return cut(proxies);
    }
  };

  private static final long LIST_PAUSE_MS = 20;

  private final int minMs;
  private final int maxMs;

  ConnectionFault(int minMs, int maxMs) {
    this.minMs = minMs;
    this.maxMs = maxMs;
  }

  /** Returns the faults that last for the life of the connections that are open. */
  static Set<ConnectionFault> silences() {
    return EnumSet.range(SILENCE_WORKER_CONNECTIONS, SILENCE_ALL_CONNECTIONS);
  }

  /** Returns the faults that end, after which open connections work again. */
  static Set<ConnectionFault> cuts() {
    return EnumSet.complementOf(EnumSet.copyOf(silences()));
  }

  @Override
  public long durationMs(Random random) {
    return minMs + (long) random.nextInt(maxMs - minMs);
  }

  private static Runnable silence(List<LoopbackProxy> proxies) {
    proxies.forEach(LoopbackProxy::silenceConnections);
    return () -> {};
  }

  private static Runnable cut(List<LoopbackProxy> proxies) {
    proxies.forEach(proxy -> proxy.setMode(Mode.UNREACHABLE));
    return () -> proxies.forEach(proxy -> proxy.setMode(Mode.FORWARD));
  }

  private static Runnable cutDaemons(SoakFleet fleet, List<DaemonProcess> daemons) {
    Logger.info("soak: cut are {}", daemons.stream().map(DaemonProcess::name).toList());
    List<LoopbackProxy> paths = new ArrayList<>();
    for (DaemonProcess daemon : daemons) {
      paths.add(fleet.storeProxy(daemon));
      paths.addAll(fleet.linkProxies(daemon, other -> true));
    }
    Runnable end = cut(paths);
    AtomicBoolean hasEnded = new AtomicBoolean();
    cutFromWorkers(fleet, daemons, hasEnded);
    return () -> {
      hasEnded.set(true);
      end.run();
      fleet.workerProxies().forEach(proxy -> proxy.setMode(Mode.FORWARD));
    };
  }

  /** Finds the daemons' connections to workers again and again, on another thread. */
  private static void cutFromWorkers(
      SoakFleet fleet, List<DaemonProcess> daemons, AtomicBoolean hasEnded) {
    fleet.listConnections(
        owners -> {
          if (hasEnded.get()) {
            return;
          }
          Map<Integer, Boolean> cutPorts = new HashMap<>();
          owners.forEach((port, daemon) -> cutPorts.put(port, daemons.contains(daemon)));
          fleet.workerProxies().forEach(proxy -> proxy.cut(cutPorts));
          fleet.after(LIST_PAUSE_MS, () -> cutFromWorkers(fleet, daemons, hasEnded));
        });
  }
}
