package org.laburnumarch.internal.entry;

import java.util.Optional;
import org.laburnumarch.Refusal;

/**
 * The daemon's authority to dispatch requests, and the units of the teams' upper limits that it
 * holds.
 *
 * <p>Called under the entry's lock on an event loop: it must return at once and never call the
 * entry.
 */
public interface DispatchGate {

  /** Returns why no request may be dispatched now, or empty if one may. */
  Optional<Refusal> checkAuthority();

  /** Acquires one unit of a team's upper limit; returns whether one was available. */
  boolean tryAcquire(String team);

  /** Releases one unit of a team's upper limit. */
  void release(String team);
}
