package org.laburnumarch.internal.schedule;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The steps of one pool that the last round left waiting, however briefly, and what it kept workers
 * for.
 *
 * @param service the pool's service
 * @param stepsByReason number of steps by why they wait; not empty
 * @param keptFor name of the first task for which each kept worker is kept
 */
public record UnplacedSteps(
    String service, Map<WaitReason, Integer> stepsByReason, List<String> keptFor) {

  private static final int MAX_NAMED_TASKS = 3;

  /** Copies the map and the list. */
  public UnplacedSteps {
    stepsByReason = Collections.unmodifiableMap(new EnumMap<>(stepsByReason));
    keptFor = List.copyOf(keptFor);
  }

  /** Returns the fields of a log line. */
  public String fields() {
    return "pool="
        + service
        + " steps="
        + stepsByReason.values().stream().mapToInt(Integer::intValue).sum()
        + " reasons="
        + stepsByReason.entrySet().stream()
            .map(entry -> entry.getKey().label() + ':' + entry.getValue())
            .collect(Collectors.joining(","))
        + " kept_workers="
        + keptFor.size()
        + " kept_for="
        + (keptFor.isEmpty()
            ? "-"
            : keptFor.stream().limit(MAX_NAMED_TASKS).collect(Collectors.joining(",")));
  }
}
