package org.laburnumarch.internal.fleet;

import org.laburnumarch.internal.state.RecordBody;

/** An action that the daemon must carry out for the fleet. */
public sealed interface FleetAction {

  /** Append a record to the control log. */
  record Append(RecordBody body) implements FleetAction {}

  /** Ask the platform to drain an instance. */
  record Drain(String instance) implements FleetAction {}

  /** Ask the platform to reboot a drained instance. */
  record Reboot(String instance) implements FleetAction {}

  /**
   * Query the platform for the status of an instance and pass the response to {@link
   * FleetController#onStatus}.
   */
  record QueryStatus(String instance) implements FleetAction {}
}
