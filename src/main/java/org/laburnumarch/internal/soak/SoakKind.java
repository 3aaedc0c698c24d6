package org.laburnumarch.internal.soak;

import java.util.List;

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
  /** Nothing but the load. */
  QUIET(1_000) {
    @Override
    List<SoakEvent> events() {
      return List.of();
    }
  };

  private final int maxIntervalMs;

  SoakKind(int maxIntervalMs) {
    this.maxIntervalMs = maxIntervalMs;
  }

  abstract List<SoakEvent> events();

  /** Returns the longest pause between two events; most events take longer. */
  int maxIntervalMs() {
    return maxIntervalMs;
  }

  /** Returns whether nothing unplanned happens, so that no request and no start may be lost. */
  boolean isPlanned() {
    return this == PLANNED_WORK || this == QUIET;
  }
}
