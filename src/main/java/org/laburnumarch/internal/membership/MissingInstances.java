package org.laburnumarch.internal.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks how long members' instances have been missing from the platform's instance list. */
final class MissingInstances {
  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private long lastListAtMs = Long.MIN_VALUE / 4;

  void onList(Set<String> reportedInstances, Set<String> memberInstances, long nowMs) {
    if (nowMs - lastListAtMs > MemberTimes.INSTANCE_LIST_VALID_MS) {
      missingSinceMs.clear();
    }
    lastListAtMs = nowMs;
    missingSinceMs.keySet().retainAll(memberInstances);
    for (String instance : memberInstances) {
      if (reportedInstances.contains(instance)) {
        missingSinceMs.remove(instance);
      } else {
        missingSinceMs.putIfAbsent(instance, nowMs);
      }
    }
  }

  boolean isRemoved(String instance, long nowMs) {
    return nowMs - lastListAtMs <= MemberTimes.INSTANCE_LIST_VALID_MS
        && missingSinceMs.containsKey(instance)
        && nowMs - missingSinceMs.get(instance) >= MemberTimes.INSTANCE_REMOVED_AFTER_MS;
  }
}
