package org.laburnumarch.internal.entry;

import java.util.ArrayDeque;

/** Actions such as I/O and callbacks, collected under a lock and run in order after its release. */
final class Effects {
  private final ArrayDeque<Runnable> actions = new ArrayDeque<>();

  void add(Runnable action) {
    actions.add(action);
  }

  void run() {
    for (Runnable action = actions.poll(); action != null; action = actions.poll()) {
      action.run();
    }
  }
}
