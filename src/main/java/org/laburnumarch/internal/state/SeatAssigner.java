package org.laburnumarch.internal.state;

import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;

/** Assigns the lowest free seats to the members without one, in the order in which they joined. */
final class SeatAssigner {

  /**
   * Used before the first configuration text: nine daemons, and three more during a replacement.
   */
  static final int DEFAULT_MAX_SEATS = 12;

  private SeatAssigner() {}

  static int maxSeats(ControlState state) {
    return state.text().map(text -> text.fleet().maxSeats()).orElse(DEFAULT_MAX_SEATS);
  }

  /** Returns the state with free seats assigned to active members without one. */
  static ControlState assign(ControlState state) {
    var waiting =
        state
            .members()
            .values()
            .filter(m -> m.isActive() && !m.isSeated())
            .sortBy(MemberEntry::joinedAtOffset);
    if (waiting.isEmpty()) {
      return state;
    }
    SortedMap<String, MemberEntry> members = state.members();
    int maxSeats = maxSeats(state);
    Set<Integer> taken = members.values().map(MemberEntry::seat).toSet();
    int seat = 0;
    for (MemberEntry member : waiting) {
      while (taken.contains(seat)) {
        seat++;
      }
      if (seat >= maxSeats) {
        break;
      }
      members = members.put(member.memberId(), member.withSeat(seat));
      seat++;
    }
    return state.withMembers(members);
  }
}
