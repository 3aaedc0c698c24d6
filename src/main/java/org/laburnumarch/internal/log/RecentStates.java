package org.laburnumarch.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.laburnumarch.internal.state.ControlState;

/**
 * Keeps the last states to compare them with snapshots of other daemons. The states share most of
 * their data, so that keeping them needs little memory.
 */
final class RecentStates {

  private static final int MAX_STATES = 256;

  private final Deque<ControlState> states = new ArrayDeque<>();

  void add(ControlState state) {
    states.addLast(state);
    if (states.size() > MAX_STATES) {
      states.removeFirst();
    }
  }

  void clear() {
    states.clear();
  }

  Optional<ControlState> at(long nextOffset) {
    return states.stream().filter(state -> state.nextOffset() == nextOffset).findFirst();
  }
}
