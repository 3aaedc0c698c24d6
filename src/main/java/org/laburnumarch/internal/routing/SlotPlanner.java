package org.laburnumarch.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.laburnumarch.internal.hash.StableHash;

/**
 * Computes slot plans; the same inputs give the same plan at every daemon.
 *
 * <p>A hash gives each pair of a slot and a member a fixed rank (rendezvous hashing). Slots are
 * assigned in the order of these ranks until the quotas are used up, so that a small change of the
 * quotas moves few slots. The sorted pairs are reused while minions and members stay the same.
 */
public final class SlotPlanner {
  private List<MinionSlots> sortedMinions = List.of();
  private List<String> sortedMembers = List.of();
  private List<Candidate> candidatesByHash = List.of();

  /**
   * Returns the plan of one pool.
   *
   * @param minions the minions that may be used, in any order
   * @param demandByMember running and queued requests of every member; 0 if it has reported none
   * @param maxPerMinion maximum slots of one minion for one member, given by its connection limit
   */
  public SlotPlan plan(
      List<MinionSlots> minions, SortedMap<String, Integer> demandByMember, int maxPerMinion) {
    if (minions.isEmpty() || demandByMember.isEmpty()) {
      return SlotPlan.empty();
    }
    sortCandidates(minions, List.copyOf(demandByMember.keySet()));
    int slots = minions.stream().mapToInt(MinionSlots::slots).sum();
    Assignment assignment = new Assignment(SlotQuotas.split(slots, demandByMember), maxPerMinion);
    candidatesByHash.forEach(candidate -> assignment.assign(candidate, true));
    // A member at its connection limit cannot use its whole quota; the others get those slots.
    candidatesByHash.forEach(candidate -> assignment.assign(candidate, false));
    return new SlotPlan(assignment.slotsByMember);
  }

  private void sortCandidates(List<MinionSlots> minions, List<String> members) {
    if (minions.equals(sortedMinions) && members.equals(sortedMembers)) {
      return;
    }
    sortedMinions = List.copyOf(minions);
    sortedMembers = members;
    List<Candidate> candidates = new ArrayList<>();
    for (MinionSlots minion : minions) {
      for (int slot = 0; slot < minion.slots(); slot++) {
        for (String member : members) {
          long hash = StableHash.of(member, minion.instance(), slot);
          candidates.add(new Candidate(member, minion.instance(), slot, hash));
        }
      }
    }
    candidates.sort(
        Comparator.comparingLong(Candidate::hash)
            .thenComparing(Candidate::member)
            .thenComparing(Candidate::instance)
            .thenComparingInt(Candidate::slot));
    candidatesByHash = candidates;
  }

  /** A slot and a member that may get it, with the hash that ranks the pair. */
  private record Candidate(String member, String instance, int slot, long hash) {}

  private record Slot(String instance, int slot) {}

  private static final class Assignment {
    private final SortedMap<String, Integer> quotas;
    private final int maxPerMinion;
    private final Map<Slot, String> memberBySlot = new HashMap<>();
    private final Map<String, Map<String, Integer>> slotsByMember = new TreeMap<>();

    Assignment(SortedMap<String, Integer> quotas, int maxPerMinion) {
      this.quotas = quotas;
      this.maxPerMinion = maxPerMinion;
    }

    void assign(Candidate candidate, boolean isWithinQuota) {
      int quota = quotas.get(candidate.member());
      if (isWithinQuota && quota == 0) {
        return;
      }
      Slot slot = new Slot(candidate.instance(), candidate.slot());
      Map<String, Integer> memberSlots =
          slotsByMember.computeIfAbsent(candidate.member(), m -> new TreeMap<>());
      int held = memberSlots.getOrDefault(candidate.instance(), 0);
      if (held >= maxPerMinion || memberBySlot.putIfAbsent(slot, candidate.member()) != null) {
        return;
      }
      memberSlots.put(candidate.instance(), held + 1);
      quotas.put(candidate.member(), Math.max(0, quota - 1));
    }
  }
}
