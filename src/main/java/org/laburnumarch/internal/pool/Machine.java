package org.laburnumarch.internal.pool;

import java.util.List;

/**
 * An instance as the machine service lists it.
 *
 * @param name the instance's name, the same for all its lives
 * @param pool the service whose pool it is in
 * @param state what it is doing
 * @param dataCentre where it stands
 * @param labels its kind and its rack
 * @param workerId id of its present life as a worker; empty if it has none
 */
public record Machine(
    String name,
    String pool,
    State state,
    String dataCentre,
    List<String> labels,
    String workerId) {

  /** What an instance is doing. */
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
