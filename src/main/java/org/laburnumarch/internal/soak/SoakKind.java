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
  ISOLATED_FAULTS_OF_LOAD(3_000) {
    @Override
    List<SoakEvent> events() {
      return List.of();
    }

    @Override
    int seriesLength(Random random) {
      return 1 + random.nextInt(2);
    }

    @Override
    Random eventRandom(Random random) {
      return new Random(random.nextLong());
    }

    @Override
    long calmMs(Random random) {
      return isolatedCalmMs(random);
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
  ISOLATED_FAULTS(1_500) {
    @Override
    List<SoakEvent> events() {
      List<SoakEvent> events = new ArrayList<>(List.of(IsolatedFault.values()));
      events.add(SoakFault.RESTART_WORKERS);
      events.add(SoakFault.DARK_WORKERS);
      return events;
    }

    @Override
    int seriesLength(Random random) {
      return 1 + random.nextInt(3);
    }

    @Override
    Random eventRandom(Random random) {
      return new Random(random.nextLong());
    }

    @Override
    long calmMs(Random random) {
      return isolatedCalmMs(random);
    }
  };

  private static long isolatedCalmMs(Random random) {
    return 3_000L + random.nextInt(3_000);
  }

  private final int maxIntervalMs;

  SoakKind(int maxIntervalMs) {
    this.maxIntervalMs = maxIntervalMs;
  }

  abstract List<SoakEvent> events();

  /** Chooses the number of events until the next calm span. */
  int seriesLength(Random unused) {
    return Integer.MAX_VALUE;
  }

  /**
   * Returns the source of an event's random choices; one of its own keeps choices that depend on
   * the state of the fleet from changing later events.
   */
  Random eventRandom(Random random) {
    return random;
  }

  /** Chooses the length of the calm span that follows the end of all events of a series. */
  long calmMs(Random unused) {
    return 0;
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
