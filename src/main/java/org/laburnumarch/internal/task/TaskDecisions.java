package org.laburnumarch.internal.task;

import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.spi.WorkerOrder;

/**
 * The actions that a daemon must take after a tick.
 *
 * @param append a record to append; the caller retries the append until its result is known and
 *     then calls {@link TaskScheduler#onRecordResult}
 * @param orders orders to send at once, by worker
 */
public record TaskDecisions(Optional<RecordBody> append, Map<String, WorkerOrder> orders) {

  /** No record and no orders. */
  static final TaskDecisions NONE = new TaskDecisions(Optional.empty(), Map.of());

  public TaskDecisions {
    orders = Map.copyOf(orders);
  }
}
