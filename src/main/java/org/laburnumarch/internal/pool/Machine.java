package org.laburnumarch.internal.pool;

import java.util.List;

/**
 * An instance as listed by the machine service.
 *
 * @param name name of the instance; the same for all its incarnations
 * @param pool name of the service to whose pool the instance belongs
 * @param state whether the instance runs, moves, is maintained or is down
 * @param dataCentre data centre of the instance
 * @param labels hardware kind and rack
 * @param workerId worker id of the current incarnation; empty if no worker runs on the instance
 */
public record Machine(
    String name,
    String pool,
    State state,
    String dataCentre,
    List<String> labels,
    String workerId) {

  /** The state of an instance. */
  public enum State {
    UP,
    MOVING,
    MAINTENANCE,
    DOWN
  }

  /** Copies the list. */
  public Machine {
    labels = List.copyOf(labels);
  }
}
