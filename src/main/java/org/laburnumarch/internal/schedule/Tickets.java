package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.QueueConfig.AdviceTimes;

/** The advisory service's tickets for each step, and the times of the next requests for them. */
final class Tickets {

  /**
   * Fraction of its validity during which a ticket is used, so that it does not expire on the way
   * to the worker.
   */
  private static final double USABLE_VALIDITY_FRACTION = 0.7;

  private static final int MAX_WORKERS_PER_QUERY = 30;
  private static final long RETRY_MS = 200;
  private static final long RESPONSE_MARGIN_MS = 1_500;

  private record StepTickets(Map<String, String> byWorker, long usableUntilMs) {}

  private final Map<String, StepTickets> ticketsByStep = new HashMap<>();
  private final Map<String, Long> nextQueryAtMs = new HashMap<>();

  /** Returns the tickets of a step that can be used now, by worker id. */
  Map<String, String> usableFor(Step step, long nowMs) {
    StepTickets tickets = ticketsByStep.get(step.wireName());
    return tickets == null || tickets.usableUntilMs() < nowMs ? Map.of() : tickets.byWorker();
  }

  /** Returns the request to send for a step; empty while one is pending or none may be sent yet. */
  Optional<AdviceQuery> query(Step step, AdviceTimes times, List<String> workerIds, long nowMs) {
    String name = step.wireName();
    if (nextQueryAtMs.getOrDefault(name, Long.MIN_VALUE) > nowMs || workerIds.isEmpty()) {
      return Optional.empty();
    }
    List<String> queried = workerIds.subList(0, Math.min(MAX_WORKERS_PER_QUERY, workerIds.size()));
    long timeoutMs = times.decisionMs() + times.intervalMs() * queried.size() + RESPONSE_MARGIN_MS;
    nextQueryAtMs.put(name, nowMs + timeoutMs);
    return Optional.of(new AdviceQuery(name, queried, timeoutMs));
  }

  void store(String stepName, Map<String, String> byWorker, long validityMs, long nowMs) {
    ticketsByStep.put(
        stepName,
        new StepTickets(byWorker, nowMs + (long) (validityMs * USABLE_VALIDITY_FRACTION)));
    nextQueryAtMs.put(stepName, nowMs + RETRY_MS);
  }

  void scheduleRetry(String stepName, long nowMs) {
    nextQueryAtMs.put(stepName, nowMs + RETRY_MS);
  }

  /** Removes the tickets of a step whose tasks are all done. */
  void forget(Step step) {
    ticketsByStep.remove(step.wireName());
    nextQueryAtMs.remove(step.wireName());
  }
}
