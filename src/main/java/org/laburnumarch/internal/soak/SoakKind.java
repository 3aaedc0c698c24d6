package org.laburnumarch.internal.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What happens in a run. */
enum SoakKind {
  /** Faults that overlap. */
  FAULTS(1_800) {
    @Override
    List<SoakEvent> events() {
      return List.of(SoakFault.values());
    }
  },
  /** Only work that operators plan, in series that overlap. */
  PLANNED_WORK(4_000) {
    @Override
    List<SoakEvent> events() {
      return List.of(PlannedWork.values());
    }
  },
  /** Only the faults that the load adds to the usual ones. */
  FAULTS_OF_LOAD(1_800) {
    @Override
    List<SoakEvent> events() {
      return List.of();
    }
  },
  /** The same, in series of one or two with calm spans between them. */
  ISOLATED_FAULTS_OF_LOAD(3_000, 2) {
    @Override
    List<SoakEvent> events() {
      return List.of();
    }
  },
  /** Only changes of the configuration. */
  CONFIG_CHANGES(1_200) {
    @Override
    List<SoakEvent> events() {
      return List.of(ConfigChange.values());
    }
  },
  /** Changes of the configuration beside faults, with calm spans after a few of them. */
  CONFIG_CHANGES_BESIDE_FAULTS(1_500, 5) {
    @Override
    List<SoakEvent> events() {
      List<SoakEvent> events = new ArrayList<>(ISOLATED_FAULTS.events());
      events.addAll(List.of(ConfigChange.values()));
      events.add(SoakFault.KILL_OWNER);
      events.add(SoakFault.PAUSE_OWNER);
      events.add(SoakFault.STORE_DOWN);
      events.add(SoakFault.STORE_LOSES_ANSWERS);
      events.add(SoakFault.LATE_ORDERS);
      return events;
    }
  },
  /** Addresses that go to others, beside workers that leave and changes of the configuration. */
  REPLACEMENTS(2_000, 4) {
    @Override
    List<SoakEvent> events() {
      List<SoakEvent> events = new ArrayList<>(List.of(Replacement.values()));
      events.add(ConfigChange.CHANGE_QUEUE);
      events.add(PlannedWork.REPLACE_WORKERS);
      events.add(PlannedWork.MAINTAIN_INSTANCES);
      return events;
    }

    @Override
    int spareDaemons() {
      return 3;
    }
  },
  /** Open connections that go silent for good, in series with long calm spans. */
  SILENT_CONNECTIONS(3_000, 3) {
    @Override
    List<SoakEvent> events() {
      return List.copyOf(ConnectionFault.silences());
    }
  },
  /** Machines and paths that are cut and respond to nothing, in series with long calm spans. */
  MACHINE_CUTS(3_000, 2) {
    @Override
    List<SoakEvent> events() {
      return List.copyOf(ConnectionFault.cuts());
    }
  },
  /** Nothing but the load. */
  QUIET(1_000) {
    @Override
    List<SoakEvent> events() {
      return List.of();
    }
  },
  /** Series of a few faults, each followed by a calm span, so that the effect of a fault shows. */
  ISOLATED_FAULTS(1_500, 3) {
    @Override
    List<SoakEvent> events() {
      List<SoakEvent> events = new ArrayList<>(List.of(IsolatedFault.values()));
      events.add(SoakFault.RESTART_WORKERS);
      events.add(SoakFault.DARK_WORKERS);
      return events;
    }
  };

  private static final int ENDLESS = Integer.MAX_VALUE;

  private final int maxIntervalMs;
  private final int maxSeriesLength;

  SoakKind(int maxIntervalMs) {
    this(maxIntervalMs, ENDLESS);
  }

  SoakKind(int maxIntervalMs, int maxSeriesLength) {
    this.maxIntervalMs = maxIntervalMs;
    this.maxSeriesLength = maxSeriesLength;
  }

  abstract List<SoakEvent> events();

  /** Returns the number of daemons that take the place of others at other addresses. */
  int spareDaemons() {
    return 0;
  }

  private boolean isIsolated() {
    return maxSeriesLength != ENDLESS;
  }

  /** Chooses the number of events until the next calm span. */
  int seriesLength(Random random) {
    return isIsolated() ? 1 + random.nextInt(maxSeriesLength) : ENDLESS;
  }

  /**
   * Returns the source of an event's random choices; one of its own keeps choices that depend on
   * the state of the fleet from changing later events.
   */
  Random eventRandom(Random random) {
    return isIsolated() ? new Random(random.nextLong()) : random;
  }

  /** Chooses the length of the calm span that follows the end of all events of a series. */
  long calmMs(Random random) {
    if (isJudgedWhileCalm()) {
      return 8_000L + random.nextInt(2_000);
    }
    return isIsolated() ? 3_000L + random.nextInt(3_000) : 0;
  }

  /** Returns whether faults strike connections only, also those between daemons. */
  boolean isOfConnections() {
    return this == SILENT_CONNECTIONS || this == MACHINE_CUTS;
  }

  /** Returns whether calm spans are long enough for the rule on work that waits. */
  boolean isJudgedWhileCalm() {
    return isOfConnections();
  }

  /** Returns the longest pause between two events; most events take longer. */
  int maxIntervalMs() {
    return maxIntervalMs;
  }

  /** Returns whether nothing unplanned happens, so that no request and no start may be lost. */
  boolean isPlanned() {
    return this == PLANNED_WORK || this == QUIET;
  }
}
