package org.laburnumarch.internal.soak;

import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import org.laburnumarch.internal.platform.standin.StoreStandIn;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;

/** Faults that are injected into a running fleet from outside the daemons. */
enum SoakFault implements SoakEvent {
  /** Kills a daemon and restarts it. */
  KILL {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return killAndRestart(fleet, fleet.randomDaemon(random));
    }
  },
  /** Kills the owner and restarts it. */
  KILL_OWNER {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return killAndRestart(fleet, fleet.ownerOrRandom(random));
    }
  },
  /** Kills all daemons at once and restarts them. */
  KILL_ALL {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.daemons().forEach(DaemonProcess::kill);
      return () -> fleet.daemons().forEach(fleet::start);
    }
  },
  /** Sends SIGTERM to a daemon and restarts it. */
  TERMINATE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      DaemonProcess daemon = fleet.randomDaemon(random);
      daemon.terminate();
      return () -> fleet.start(daemon);
    }
  },
  /** Suspends a daemon and resumes it. */
  PAUSE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return suspend(fleet.randomDaemon(random));
    }
  },
  /** Suspends the owner and resumes it, often long enough for another daemon to take over. */
  PAUSE_OWNER {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return suspend(fleet.ownerOrRandom(random));
    }
  },
  /** Sends SIGHUP to all daemons, so that they reload their settings. */
  HANG_UP {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.daemons().forEach(DaemonProcess::hangUp);
      return () -> {};
    }
  },
  /** Disrupts the connections between a daemon and the store. */
  STORE_PATH {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return disrupt(List.of(fleet.storeProxy(fleet.randomDaemon(random))), random);
    }
  },
  /** Disrupts the connections between the owner and the store. */
  OWNERS_STORE_PATH {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return disrupt(List.of(fleet.storeProxy(fleet.ownerOrRandom(random))), random);
    }
  },
  /** Disrupts the connections of all daemons to a third of the workers. */
  WORKER_PATHS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return disrupt(
          fleet.workerProxies().stream().filter(proxy -> random.nextInt(3) == 0).toList(), random);
    }
  },
  /** Makes the store execute appends after a delay. */
  STORE_SLOW {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return setStoreFault(fleet, StoreStandIn.Fault.SLOW);
    }
  },
  /** Makes the store reject all calls. */
  STORE_DOWN {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return setStoreFault(fleet, StoreStandIn.Fault.REFUSING);
    }
  },
  /** Makes the store execute some appends without a response. */
  STORE_LOSES_ANSWERS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return setStoreFault(fleet, StoreStandIn.Fault.LOSING_ANSWERS);
    }
  },
  /** Makes the store execute some appends seconds later, without a response. */
  STORE_APPLIES_LATE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return setStoreFault(fleet, StoreStandIn.Fault.APPLYING_LATE);
    }
  },
  /** Drops the history of the store. */
  STORE_FORGETS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().store().dropHistory();
      return () -> {};
    }
  },
  /** Restarts a fifth of the workers under the same ids, without their state. */
  RESTART_WORKERS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().instancesWithWorker().stream()
          .filter(instanceName -> random.nextInt(5) == 0)
          .forEach(fleet.platform()::restartWorker);
      return () -> {};
    }
  },
  /** Keeps the heartbeats of a third of the workers from the registry; the workers keep running. */
  DARK_WORKERS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      List<String> affected =
          fleet.platform().instancesWithWorker().stream()
              .filter(name -> random.nextInt(3) == 0)
              .toList();
      affected.forEach(instanceName -> fleet.platform().setHeartbeatsSuspended(instanceName, true));
      return () ->
          affected.forEach(
              instanceName -> fleet.platform().setHeartbeatsSuspended(instanceName, false));
    }
  },
  /** Makes workers carry out a tenth of the orders seconds later, without a response. */
  LATE_ORDERS {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      fleet.platform().delayOrders(0.1);
      return () -> fleet.platform().delayOrders(0);
    }
  },
  /** Writes a new configuration. */
  CONFIG_CHANGE {
    @Override
    public Runnable inject(SoakFleet fleet, Random random) {
      return ConfigChange.ADD_ROUTES.inject(fleet, random);
    }
  };

  private static Runnable killAndRestart(SoakFleet fleet, DaemonProcess daemon) {
    daemon.kill();
    return () -> fleet.start(daemon);
  }

  private static Runnable suspend(DaemonProcess daemon) {
    daemon.pause();
    return daemon::resume;
  }

  private static Runnable disrupt(List<LoopbackProxy> proxies, Random random) {
    List<Mode> modes = List.copyOf(EnumSet.range(Mode.DELAY, Mode.RESET));
    Mode mode = modes.get(random.nextInt(modes.size()));
    proxies.forEach(proxy -> proxy.setMode(mode));
    return () -> proxies.forEach(proxy -> proxy.setMode(Mode.FORWARD));
  }

  private static Runnable setStoreFault(SoakFleet fleet, StoreStandIn.Fault fault) {
    fleet.platform().store().setFault(fault);
    return () -> fleet.platform().store().setFault(StoreStandIn.Fault.NONE);
  }
}
