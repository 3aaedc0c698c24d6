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

  /**
   * What is known of a step.
   *
   * @param byWorker the tickets, by worker id
   * @param decided ids of the workers that the service has allowed or not
   */
  private record StepTickets(
      Map<String, String> byWorker, Set<String> decided, long usableUntilMs) {

    private static final StepTickets NONE = new StepTickets(Map.of(), Set.of(), Long.MAX_VALUE);

    StepTickets plus(StepTickets other) {
      Map<String, String> allTickets = new HashMap<>(byWorker);
      allTickets.putAll(other.byWorker);
      Set<String> allDecided = new HashSet<>(decided);
      allDecided.addAll(other.decided);
      return new StepTickets(allTickets, allDecided, Math.min(usableUntilMs, other.usableUntilMs));
    }
  }

  private final Map<String, StepTickets> ticketsByStep = new HashMap<>();

  /** The workers that pending requests name, by step. */
  private final Map<String, List<String>> queriedByStep = new HashMap<>();

  private final Map<String, Long> nextQueryAtMs = new HashMap<>();

  /** Returns the tickets of a step that can be used now, by worker id. */
  Map<String, String> usableFor(Step step, long nowMs) {
    return current(step.wireName(), nowMs).byWorker();
  }

  private StepTickets current(String stepName, long nowMs) {
    StepTickets tickets = ticketsByStep.get(stepName);
    return tickets == null || tickets.usableUntilMs() < nowMs ? StepTickets.NONE : tickets;
  }

  /**
   * Returns the request to send for a step; empty while one is pending or none may be sent yet, or
   * if the service has decided on all the workers and allowed some.
   */
  Optional<AdviceQuery> query(Step step, AdviceTimes times, List<String> workerIds, long nowMs) {
    String name = step.wireName();
    if (nextQueryAtMs.getOrDefault(name, Long.MIN_VALUE) > nowMs || workerIds.isEmpty()) {
      return Optional.empty();
    }
    StepTickets known = current(name, nowMs);
    List<String> undecided =
        workerIds.stream().filter(id -> !known.decided().contains(id)).toList();
    if (undecided.isEmpty() && !known.byWorker().isEmpty()) {
      return Optional.empty();
    }
    List<String> candidates = undecided.isEmpty() ? workerIds : undecided;
    List<String> queried =
        candidates.subList(0, Math.min(MAX_WORKERS_PER_QUERY, candidates.size()));
    queriedByStep.put(name, queried);
    long timeoutMs = times.decisionMs() + times.intervalMs() * queried.size() + RESPONSE_MARGIN_MS;
    nextQueryAtMs.put(name, nowMs + timeoutMs);
    return Optional.of(new AdviceQuery(name, queried, timeoutMs));
  }

  void store(String stepName, Map<String, String> byWorker, long validityMs, long nowMs) {
    Set<String> decided = new HashSet<>(byWorker.keySet());
    decided.addAll(queriedByStep.getOrDefault(stepName, List.of()));
    queriedByStep.remove(stepName);
    StepTickets added =
        new StepTickets(byWorker, decided, nowMs + (long) (validityMs * USABLE_VALIDITY_FRACTION));
    ticketsByStep.put(stepName, current(stepName, nowMs).plus(added));
    nextQueryAtMs.put(stepName, nowMs + RETRY_MS);
  }

  void scheduleRetry(String stepName, long nowMs) {
    nextQueryAtMs.put(stepName, nowMs + RETRY_MS);
  }

  /** Removes the tickets of a step whose tasks are all done. */
  void forget(Step step) {
    ticketsByStep.remove(step.wireName());
    queriedByStep.remove(step.wireName());
    nextQueryAtMs.remove(step.wireName());
  }
}
