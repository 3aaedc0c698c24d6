package org.laburnumarch.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotPlannerTest {

  private static List<MinionSlots> minions(int count) {
    return IntStream.range(0, count).mapToObj(i -> new MinionSlots("minion-" + i, 8)).toList();
  }

  private static SortedMap<String, Integer> demand(int... perMember) {
    SortedMap<String, Integer> demand = new TreeMap<>();
    for (int i = 0; i < perMember.length; i++) {
      demand.put("member-" + i, perMember[i]);
    }
    return demand;
  }

  private static int moved(SlotPlan before, SlotPlan after, int members) {
    int moved = 0;
    for (int i = 0; i < members; i++) {
      var old = before.slotsOf("member-" + i);
      for (var slot : after.slotsOf("member-" + i).entrySet()) {
        moved += Math.max(0, slot.getValue() - old.getOrDefault(slot.getKey(), 0));
      }
    }
    return moved;
  }

  @Nested
  @Group
  class SinglePlan {

    /** Guards against assigning more slots than a minion has or a member has connections for. */
    @Property(tries = 200)
    void shouldAssignEachSlotOnce(
        @ForAll long seed,
        @ForAll @IntRange(min = 1, max = 12) int minionCount,
        @ForAll @IntRange(min = 1, max = 12) int memberCount) {
      Random random = new Random(seed);
      int[] demands = IntStream.range(0, memberCount).map(i -> random.nextInt(200)).toArray();
      SlotPlan plan = new SlotPlanner().plan(minions(minionCount), demand(demands), 5);
      int assigned = 0;
      for (MinionSlots minion : minions(minionCount)) {
        int used = 0;
        for (int i = 0; i < memberCount; i++) {
          int slots = plan.slotsOf("member-" + i).getOrDefault(minion.instance(), 0);
          assertThat(slots).as("seed %d", seed).isLessThanOrEqualTo(5);
          used += slots;
        }
        assertThat(used).as("seed %d", seed).isLessThanOrEqualTo(8);
        assigned += used;
      }
      assertThat(assigned)
          .as("seed %d", seed)
          .isEqualTo(minionCount * Math.min(8, 5 * memberCount));
    }

    /** Guards against daemons that compute different plans from the same reports. */
    @Test
    void shouldNotDependOnInputOrderOrEarlierPlans() {
      SlotPlanner used = new SlotPlanner();
      used.plan(minions(3), demand(1, 2), 5);
      List<MinionSlots> shuffled = new ArrayList<>(minions(8));
      Collections.reverse(shuffled);
      assertThat(used.plan(shuffled, demand(5, 0, 70, 3), 5))
          .isEqualTo(new SlotPlanner().plan(minions(8), demand(5, 0, 70, 3), 5));
    }

    /** Guards against a member without a demand report that gets no slots. */
    @Test
    void shouldGiveEveryMemberAMinimum() {
      SlotPlan plan = new SlotPlanner().plan(minions(6), demand(500, 500, 500, 500, 0, 0), 5);
      assertThat(plan.totalOf("member-4")).isPositive();
      assertThat(plan.totalOf("member-5")).isPositive();
      assertThat(plan.totalOf("member-0")).isGreaterThan(8);
    }
  }

  @Nested
  @Group
  class Changes {

    /** Guards against plans that change a lot, since daemons switch plans at different times. */
    @Property(tries = 200)
    void shouldMoveFewSlotsWhenDemandChangesSlightly(@ForAll long seed) {
      Random random = new Random(seed);
      int[] demands = IntStream.range(0, 9).map(i -> random.nextInt(20)).toArray();
      SlotPlan before = new SlotPlanner().plan(minions(8), demand(demands), 5);
      demands[random.nextInt(9)]++;
      SlotPlan after = new SlotPlanner().plan(minions(8), demand(demands), 5);
      assertThat(moved(before, after, 9)).as("seed %d", seed).isLessThanOrEqualTo(12);
    }

    /** Guards against slots that follow queue lengths while every member has enough to do. */
    @Test
    void shouldMoveNothingWhileEveryMemberIsSaturated() {
      SlotPlan before = new SlotPlanner().plan(minions(8), demand(50, 60, 70, 80), 5);
      SlotPlan after = new SlotPlanner().plan(minions(8), demand(500, 20, 90, 16), 5);
      assertThat(after).isEqualTo(before);
    }

    /** Guards against a lost minion that moves the slots of all others. */
    @Test
    void shouldKeepMostSlotsWhenAMinionLeaves() {
      int[] demands = {9, 9, 9, 9, 9, 9, 9, 9, 9};
      SlotPlan before = new SlotPlanner().plan(minions(8), demand(demands), 5);
      SlotPlan after = new SlotPlanner().plan(minions(7), demand(demands), 5);
      assertThat(moved(before, after, 9)).isLessThanOrEqualTo(12);
    }
  }
}
