package org.laburnumarch.internal.membership;

import io.vavr.collection.Vector;
import java.util.Optional;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;

/** Members of a state from the perspective of one member, computed once per state. */
final class MemberView {
  private final ControlState state;
  private final String selfId;
  private final Optional<MemberEntry> self;
  private final Vector<MemberEntry> active;
  private final Vector<MemberEntry> departed;
  private final Vector<MemberEntry> counting;
  private final Vector<String> pingTargets;
  private final int seatedCount;
  private final int rank;

  MemberView(ControlState state, String selfId) {
    this.state = state;
    this.selfId = selfId;
    Vector<MemberEntry> members = Vector.ofAll(state.members().values());
    self = state.members().get(selfId).toJavaOptional();
    active = members.filter(MemberEntry::isActive);
    departed = members.reject(MemberEntry::isActive);
    counting = members.filter(MemberEntry::isCounting);
    pingTargets =
        members
            .filter(m -> !m.memberId().equals(selfId) && (m.isActive() || m.isCounting()))
            .map(MemberEntry::memberId);
    seatedCount = active.count(MemberEntry::isSeated);
    rank = self.map(own -> active.count(m -> precedes(m, own))).orElse(active.size());
  }

  /** Orders members with a seat by seat, then waiting members by the time they joined. */
  private static boolean precedes(MemberEntry one, MemberEntry other) {
    if (one.isSeated() && other.isSeated()) {
      return one.seat() < other.seat();
    }
    return one.isSeated() || (!other.isSeated() && one.joinedAtOffset() < other.joinedAtOffset());
  }

  ControlState state() {
    return state;
  }

  String selfId() {
    return selfId;
  }

  Optional<MemberEntry> self() {
    return self;
  }

  boolean isActive() {
    return self.isPresent() && self.get().isActive();
  }

  boolean isSeated() {
    return isActive() && self.get().isSeated();
  }

  boolean isActive(String memberId) {
    return state.members().get(memberId).exists(MemberEntry::isActive);
  }

  Vector<MemberEntry> active() {
    return active;
  }

  Vector<MemberEntry> departed() {
    return departed;
  }

  Vector<MemberEntry> counting() {
    return counting;
  }

  /** Returns the other members that are active or still count for majorities. */
  Vector<String> pingTargets() {
    return pingTargets;
  }

  int seatedCount() {
    return seatedCount;
  }

  /** Returns the number of active members that propose before this one. */
  int rank() {
    return rank;
  }

  boolean isMajority(int count, int total) {
    return count * 2 > total;
  }
}
