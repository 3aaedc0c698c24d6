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
 * Finds out from the lagging list which instances are lost or leaving.
 *
 * <p>An instance counts as lost when every list over {@link #LOST_AFTER_MS}, and at least {@link
 * #LOST_AFTER_LISTS} of them, left it out or said that it leaves. It counts again when it was
 * reported live for the same time. A single wrong, late or doubled list changes nothing, and a list
 * without any instance is taken for wrong.
 */
final class InstanceReports {
  static final long LOST_AFTER_MS = 10_000;
  static final int LOST_AFTER_LISTS = 3;

  /** A run of lists that contradict what is believed of an instance. */
  private record Doubt(long sinceMs, int listCount) {
    boolean isProven(long nowMs) {
      return listCount >= LOST_AFTER_LISTS && nowMs - sinceMs >= LOST_AFTER_MS;
    }
  }

  private final Map<String, Doubt> doubts = new HashMap<>();
  private Set<String> lost = Set.of();

  /** Takes a whole list. */
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
    Set<String> believed = new HashSet<>(lost);
    believed.retainAll(known);
    doubts.keySet().retainAll(known);
    for (String instance : known) {
      if (live.contains(instance) != believed.contains(instance)) {
        doubts.remove(instance);
      } else if (isProven(instance, nowMs) && !believed.remove(instance)) {
        believed.add(instance);
      }
    }
    lost = Set.copyOf(believed);
  }

  private boolean isProven(String instance, long nowMs) {
    Doubt old = doubts.getOrDefault(instance, new Doubt(nowMs, 0));
    Doubt doubt = new Doubt(old.sinceMs(), old.listCount() + 1);
    if (doubt.isProven(nowMs)) {
      doubts.remove(instance);
      return true;
    }
    doubts.put(instance, doubt);
    return false;
  }

  /** Returns the instances that count as lost. */
  Set<String> lost() {
    return lost;
  }

  /** Returns whether nothing contradicts that an instance is live. */
  boolean isLive(String instance) {
    return !lost.contains(instance) && !doubts.containsKey(instance);
  }
}
