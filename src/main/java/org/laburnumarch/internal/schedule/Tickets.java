package org.laburnumarch.internal.schedule;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.job.QueueConfig.AdviceTimes;

/** Tickets of the advisory service, by step, and the questions that are under way. */
final class Tickets {

  /** Part of its validity that a ticket is used for, so that it does not run out on its way. */
  private static final double USED_SHARE = 0.7;

  private static final int MAX_WORKERS = 30;
  private static final long RETRY_MS = 200;
  private static final long ANSWER_MARGIN_MS = 1_500;

  private record Held(Map<String, String> byWorker, long usableUntilMs) {}

  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, Long> askAgainAtMs = new HashMap<>();

  /** Returns the tickets that can be used now, by worker id. */
  Map<String, String> of(Step step, long nowMs) {
    Held tickets = held.get(step.wireName());
    return tickets == null || tickets.usableUntilMs() < nowMs ? Map.of() : tickets.byWorker();
  }

  /** Returns the question to ask for a step; empty while one is under way. */
  Optional<AdviceQuery> ask(Step step, AdviceTimes times, List<String> workerIds, long nowMs) {
    String name = step.wireName();
    if (askAgainAtMs.getOrDefault(name, Long.MIN_VALUE) > nowMs || workerIds.isEmpty()) {
      return Optional.empty();
    }
    List<String> asked = workerIds.subList(0, Math.min(MAX_WORKERS, workerIds.size()));
    long timeoutMs = times.decisionMs() + times.intervalMs() * asked.size() + ANSWER_MARGIN_MS;
    askAgainAtMs.put(name, nowMs + timeoutMs);
    return Optional.of(new AdviceQuery(name, asked, timeoutMs));
  }

  void answer(String stepName, Map<String, String> byWorker, long validityMs, long nowMs) {
    held.put(stepName, new Held(byWorker, nowMs + (long) (validityMs * USED_SHARE)));
    askAgainAtMs.put(stepName, nowMs + RETRY_MS);
  }

  void refuse(String stepName, long nowMs) {
    askAgainAtMs.put(stepName, nowMs + RETRY_MS);
  }

  /** Forgets a step whose tasks are all done. */
  void forget(Step step) {
    held.remove(step.wireName());
    askAgainAtMs.remove(step.wireName());
  }
}
