package org.laburnumarch.internal.schedule;

import java.util.List;

/**
 * The messages to send after one round of decisions.
 *
 * @param orders orders to workers
 * @param queries requests to the advisory service
 * @param runEvents the unexpected outcomes of runs since the last round
 */
public record Decisions(List<Order> orders, List<AdviceQuery> queries, List<RunEvent> runEvents) {

  /** Copies the lists. */
  public Decisions {
    orders = List.copyOf(orders);
    queries = List.copyOf(queries);
    runEvents = List.copyOf(runEvents);
  }
}
