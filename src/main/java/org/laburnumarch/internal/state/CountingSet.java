package org.laburnumarch.internal.state;

import io.vavr.collection.Seq;
import io.vavr.control.Option;

/**
 * The counting members: those that count when a majority is needed.
 *
 * <p>The set changes by one member at a time in log order, and only after a strict majority of the
 * set has acknowledged the change. So any majority of the old set contains a member that has read
 * the change.
 */
public final class CountingSet {

  private CountingSet() {}

  /** Returns the members of the counting set. */
  public static Seq<MemberEntry> of(ControlState state) {
    return state.members().values().filter(MemberEntry::isCounting).toVector();
  }

  /**
   * Returns whether a strict majority of the counting set has acknowledged the record at {@code
   * offset}.
   */
  public static boolean isAcknowledgedByMajority(ControlState state, long offset) {
    Seq<MemberEntry> counting = of(state);
    int acknowledged = counting.count(m -> m.isActive() && m.acknowledgedOffset() > offset);
    return 2 * acknowledged > counting.size();
  }

  /** Returns the state after all changes of the set that can take effect now. */
  static ControlState applyDueChanges(ControlState state) {
    ControlState updated = addFirstIfEmpty(state);
    Option<MemberEntry> changed = nextChange(updated);
    while (changed.isDefined() && isAcknowledgedByMajority(updated, changeOffset(changed.get()))) {
      MemberEntry member = changed.get();
      MemberEntry changedMember = member.withCounting(member.isActive());
      updated =
          addFirstIfEmpty(
              updated.withMembers(updated.members().put(member.memberId(), changedMember)));
      changed = nextChange(updated);
    }
    return updated;
  }

  /**
   * Adds the active member that joined first if the set is empty, since no member of the set
   * remains to acknowledge its join.
   */
  private static ControlState addFirstIfEmpty(ControlState state) {
    if (state.members().values().exists(MemberEntry::isCounting)) {
      return state;
    }
    return state
        .members()
        .values()
        .filter(MemberEntry::isActive)
        .minBy(MemberEntry::joinedAtOffset)
        .map(m -> state.withMembers(state.members().put(m.memberId(), m.withCounting(true))))
        .getOrElse(state);
  }

  private static Option<MemberEntry> nextChange(ControlState state) {
    return state
        .members()
        .values()
        .filter(m -> m.isActive() != m.isCounting())
        .minBy(CountingSet::changeOffset);
  }

  private static long changeOffset(MemberEntry member) {
    return member.isActive() ? member.joinedAtOffset() : member.departedAtOffset();
  }
}
