package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/**
 * The workers of a pool that meet a condition on the size of a task. During a round a worker may
 * cease to meet it, but not begin to, so that no worker is examined again for a size once it has
 * failed, nor any for a size at least as large as one that no worker meets. Load: rounds with
 * thousands of waiting steps, most of which find no worker.
 */
final class NarrowingChoice {

  private final Collection<Worker> pool;
  private final BiPredicate<Worker, TaskSize> condition;
  private final Map<TaskSize, List<Worker>> workersBySize = new HashMap<>();

  /** The least sizes that no worker meets; none of them is at least another. */
  private final List<TaskSize> unmet = new ArrayList<>();

  NarrowingChoice(Collection<Worker> pool, BiPredicate<Worker, TaskSize> condition) {
    this.pool = pool;
    this.condition = condition;
  }

  /** Returns a worker that meets the condition and another one; empty if there is none. */
  Optional<Worker> findAny(TaskSize size, Predicate<Worker> other) {
    if (unmet.stream().anyMatch(size::isAtLeast)) {
      return Optional.empty();
    }
    List<Worker> workers = workersBySize.computeIfAbsent(size, unseen -> new ArrayList<>(pool));
    for (int i = workers.size() - 1; i >= 0; i--) {
      Worker worker = workers.get(i);
      if (!condition.test(worker, size)) {
        workers.set(i, workers.get(workers.size() - 1));
        workers.remove(workers.size() - 1);
      } else if (other.test(worker)) {
        return Optional.of(worker);
      }
    }
    if (workers.isEmpty()) {
      unmet.removeIf(larger -> larger.isAtLeast(size));
      unmet.add(size);
    }
    return Optional.empty();
  }
}
