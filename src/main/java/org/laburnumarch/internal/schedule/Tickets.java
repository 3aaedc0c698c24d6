package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

  private record Ticket(String value, long usableUntilMs) {}

  /** What the service has said about a step. Tickets expire; which workers it allows is final. */
  private static final class StepAdvice {
    private final Map<String, Ticket> byWorker = new HashMap<>();
    private final Set<String> disallowed = new HashSet<>();
    private long nextQueryAtMs = Long.MIN_VALUE;

    boolean isUsable(String workerId, long nowMs) {
      Ticket ticket = byWorker.get(workerId);
      return ticket != null && nowMs <= ticket.usableUntilMs();
    }
  }

  private final Map<String, StepAdvice> adviceByStep = new HashMap<>();

  /** Returns the tickets of a step that can be used now, by worker id. */
  Map<String, String> usableFor(Step step, long nowMs) {
    if (adviceByStep.isEmpty()) {
      // Most fleets have no such queues, and each round asks for all waiting steps.
      return Map.of();
    }
    StepAdvice advice = adviceByStep.get(step.wireName());
    if (advice == null) {
      return Map.of();
    }
    Map<String, String> usable = new HashMap<>();
    advice.byWorker.forEach(
        (workerId, ticket) -> {
          if (advice.isUsable(workerId, nowMs)) {
            usable.put(workerId, ticket.value());
          }
        });
    return usable;
  }

  /** Returns whether a request for a step may be sent, because none is pending or too recent. */
  boolean isQueryDue(Step step, long nowMs) {
    StepAdvice advice = adviceByStep.get(step.wireName());
    return advice == null || advice.nextQueryAtMs <= nowMs;
  }

  /**
   * Returns the request to send for a step; empty if none is due or if the answer is known for each
   * of the workers.
   *
   * @param workerIds the workers that it might run on, the preferred ones first
   */
  Optional<AdviceQuery> query(Step step, AdviceTimes times, List<String> workerIds, long nowMs) {
    if (!isQueryDue(step, nowMs)) {
      return Optional.empty();
    }
    String name = step.wireName();
    StepAdvice advice = adviceByStep.computeIfAbsent(name, key -> new StepAdvice());
    List<String> queried =
        workerIds.stream()
            .filter(id -> !advice.disallowed.contains(id) && !advice.isUsable(id, nowMs))
            .limit(MAX_WORKERS_PER_QUERY)
            .toList();
    if (queried.isEmpty()) {
      return Optional.empty();
    }
    long timeoutMs = times.decisionMs() + times.intervalMs() * queried.size() + RESPONSE_MARGIN_MS;
    advice.nextQueryAtMs = nowMs + timeoutMs;
    return Optional.of(new AdviceQuery(name, queried, timeoutMs));
  }

  /** Stores the response to a request; workers without a ticket in it may not run the step. */
  void store(AdviceQuery query, Map<String, String> byWorker, long validityMs, long nowMs) {
    StepAdvice advice = adviceByStep.get(query.stepName());
    if (advice == null) {
      return;
    }
    long usableUntilMs = nowMs + (long) (validityMs * USABLE_VALIDITY_FRACTION);
    for (String workerId : query.workerIds()) {
      String value = byWorker.get(workerId);
      if (value == null) {
        advice.disallowed.add(workerId);
      } else {
        advice.byWorker.put(workerId, new Ticket(value, usableUntilMs));
      }
    }
    advice.nextQueryAtMs = nowMs + RETRY_MS;
  }

  void scheduleRetry(String stepName, long nowMs) {
    StepAdvice advice = adviceByStep.get(stepName);
    if (advice != null) {
      advice.nextQueryAtMs = nowMs + RETRY_MS;
    }
  }

  /**
   * Removes a ticket that a worker has refused, for example one issued to an earlier incarnation.
   */
  void discard(Step step, String workerId) {
    StepAdvice advice = adviceByStep.get(step.wireName());
    if (advice != null) {
      advice.byWorker.remove(workerId);
    }
  }

  /** Removes what is known of a step that needs no more tickets. */
  void forget(Step step) {
    adviceByStep.remove(step.wireName());
  }
}
