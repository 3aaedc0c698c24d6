package org.laburnumarch.internal.task;

import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.spi.WorkerOrder;

/**
 * What a daemon does after a tick.
 *
 * @param append a record to append; it is repeated until its verdict is known, and then reported to
 *     {@link TaskScheduler#onVerdict}
 * @param orders orders to send at once, by worker
 */
public record TaskDecisions(Optional<RecordBody> append, Map<String, WorkerOrder> orders) {

  /** Does nothing. */
  static final TaskDecisions NONE = new TaskDecisions(Optional.empty(), Map.of());

  public TaskDecisions {
    orders = Map.copyOf(orders);
  }
}
