package org.laburnumarch.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.spi.ListedInstance;

/**
 * Detects from the lagging instance list which instances are lost or leaving.
 *
 * <p>An instance counts as lost when every list over {@link #LOST_AFTER_MS}, and at least {@link
 * #LOST_AFTER_LISTS} of them, lacked it or listed it as leaving. It no longer counts as lost when
 * it was listed as live for the same time. A single wrong, late or repeated list has no effect, and
 * an empty list is ignored as wrong.
 */
final class InstanceLossDetector {
  static final long LOST_AFTER_MS = 10_000;
  static final int LOST_AFTER_LISTS = 3;

  /** Consecutive lists that contradict the current classification of an instance. */
  private record Contradiction(long sinceMs, int listCount) {
    boolean isConfirmed(long nowMs) {
      return listCount >= LOST_AFTER_LISTS && nowMs - sinceMs >= LOST_AFTER_MS;
    }
  }

  private final Map<String, Contradiction> contradictions = new HashMap<>();
  private Set<String> lost = Set.of();

  /** Updates the lost instances from a complete list. */
  void onList(List<ListedInstance> listed, ControlState state, long nowMs) {
    if (listed.isEmpty()) {
      return;
    }
    Set<String> live =
        listed.stream()
            .filter(instance -> instance.state() == ListedInstance.State.LIVE)
            .map(ListedInstance::id)
            .collect(Collectors.toSet());
    Set<String> known = state.instances().keySet().toJavaSet();
    Set<String> newLost = new HashSet<>(lost);
    newLost.retainAll(known);
    contradictions.keySet().retainAll(known);
    for (String instance : known) {
      if (live.contains(instance) != newLost.contains(instance)) {
        contradictions.remove(instance);
      } else if (isConfirmed(instance, nowMs) && !newLost.remove(instance)) {
        newLost.add(instance);
      }
    }
    lost = Set.copyOf(newLost);
  }

  private boolean isConfirmed(String instance, long nowMs) {
    Contradiction old = contradictions.getOrDefault(instance, new Contradiction(nowMs, 0));
    Contradiction contradiction = new Contradiction(old.sinceMs(), old.listCount() + 1);
    if (contradiction.isConfirmed(nowMs)) {
      contradictions.remove(instance);
      return true;
    }
    contradictions.put(instance, contradiction);
    return false;
  }

  /** Returns the instances that count as lost. */
  Set<String> lost() {
    return lost;
  }

  /** Returns whether nothing contradicts that an instance is live. */
  boolean isLive(String instance) {
    return !lost.contains(instance) && !contradictions.containsKey(instance);
  }
}
