package org.laburnumarch.internal.routing;

import java.util.Map;

/**
 * Assignment of the slots of one pool's minions to the members.
 *
 * @param slotsByMember slots by member id and minion
 */
public record SlotPlan(Map<String, Map<String, Integer>> slotsByMember) {

  /** Returns the plan without any slot. */
  public static SlotPlan empty() {
    return new SlotPlan(Map.of());
  }

  /** Returns the slots of a member by minion; minions of which it has none are left out. */
  public Map<String, Integer> slotsOf(String memberId) {
    return slotsByMember.getOrDefault(memberId, Map.of());
  }

  /** Returns how many slots a member has at all minions together. */
  public int totalOf(String memberId) {
    return slotsOf(memberId).values().stream().mapToInt(Integer::intValue).sum();
  }
}
