package org.laburnumarch.internal.soak;

import java.util.List;
import java.util.Random;
import org.laburnumarch.internal.platform.standin.StoreStandIn;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;

/** Faults that strike a running fleet from outside; each returns what ends it. */
enum SoakFault {
  /** A daemon is killed and starts again. */
  KILL {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return kill(fleet, fleet.any(random));
    }
  },
  /** The owner is killed and starts again. */
  KILL_OWNER {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return kill(fleet, fleet.ownerOrAny(random));
    }
  },
  /** All daemons are killed at once and start again. */
  KILL_ALL {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.daemons().forEach(DaemonProcess::kill);
      return () -> fleet.daemons().forEach(fleet::start);
    }
  },
  /** A daemon is told to stop, ends by itself and starts again. */
  TERMINATE {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      DaemonProcess daemon = fleet.any(random);
      daemon.terminate();
      return () -> fleet.start(daemon);
    }
  },
  /** A daemon stands still and goes on. */
  PAUSE {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return pause(fleet.any(random));
    }
  },
  /** The owner stands still, longer than others wait for it, and goes on. */
  PAUSE_OWNER {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return pause(fleet.ownerOrAny(random));
    }
  },
  /** All daemons are told that their settings file has changed. */
  HANG_UP {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.daemons().forEach(DaemonProcess::hangUp);
      return () -> {};
    }
  },
  /** The connections between a daemon and the store are harmed. */
  STORE_PATH {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return harm(List.of(fleet.storePath(fleet.any(random))), random);
    }
  },
  /** The connections between the owner and the store are harmed. */
  OWNERS_STORE_PATH {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return harm(List.of(fleet.storePath(fleet.ownerOrAny(random))), random);
    }
  },
  /** The connections of all daemons to a third of the workers are harmed. */
  WORKER_PATHS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return harm(
          fleet.workerPaths().stream().filter(path -> random.nextInt(3) == 0).toList(), random);
    }
  },
  /** The store answers late. */
  STORE_SLOW {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return behave(fleet, StoreStandIn.Fault.SLOW);
    }
  },
  /** The store refuses everything. */
  STORE_DOWN {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return behave(fleet, StoreStandIn.Fault.REFUSING);
    }
  },
  /** The store does a part of the writes and does not answer them. */
  STORE_LOSES_ANSWERS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return behave(fleet, StoreStandIn.Fault.LOSING_ANSWERS);
    }
  },
  /** The store does a part of the writes seconds later. */
  STORE_APPLIES_LATE {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      return behave(fleet, StoreStandIn.Fault.APPLYING_LATE);
    }
  },
  /** The store drops its history. */
  STORE_FORGETS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.platform().store().forgetHistory();
      return () -> {};
    }
  },
  /** A fifth of the workers start again under their ids and know nothing. */
  RESTART_WORKERS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.platform().machines().stream()
          .filter(machine -> random.nextInt(5) == 0)
          .forEach(fleet.platform()::restartWorker);
      return () -> {};
    }
  },
  /** A third of the workers do not reach the registry and work on. */
  DARK_WORKERS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      List<String> dark =
          fleet.platform().machines().stream().filter(name -> random.nextInt(3) == 0).toList();
      dark.forEach(machine -> fleet.platform().setDark(machine, true));
      return () -> dark.forEach(machine -> fleet.platform().setDark(machine, false));
    }
  },
  /** A tenth of the orders to workers get no answer and are obeyed seconds later. */
  LATE_ORDERS {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.platform().obeyLate(0.1);
      return () -> fleet.platform().obeyLate(0);
    }
  },
  /** The operators write a new configuration. */
  CONFIG_CHANGE {
    @Override
    Runnable strike(SoakFleet fleet, Random random) {
      fleet.platform().changeConfig();
      return () -> {};
    }
  };

  /** Strikes now; the returned action ends the fault. */
  abstract Runnable strike(SoakFleet fleet, Random random);

  private static Runnable kill(SoakFleet fleet, DaemonProcess daemon) {
    daemon.kill();
    return () -> fleet.start(daemon);
  }

  private static Runnable pause(DaemonProcess daemon) {
    daemon.pause();
    return daemon::resume;
  }

  private static Runnable harm(List<LoopbackProxy> paths, Random random) {
    Mode[] modes = Mode.values();
    Mode mode = modes[1 + random.nextInt(modes.length - 1)];
    paths.forEach(path -> path.behave(mode));
    return () -> paths.forEach(path -> path.behave(Mode.FORWARD));
  }

  private static Runnable behave(SoakFleet fleet, StoreStandIn.Fault fault) {
    fleet.platform().store().behave(fault);
    return () -> fleet.platform().store().behave(StoreStandIn.Fault.NONE);
  }
}
