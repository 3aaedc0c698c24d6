package org.laburnumarch.internal.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which pools get the instances that their gangs need at once. Pools whose gangs together
 * need more than there are take turns, since with a part of them no gang can start. Not
 * thread-safe; no I/O.
 */
final class GangTurns {

  /** Time for which a pool that has the instances goes first, so that its gang can start. */
  private static final long SATISFIED_TURN_MS = 2_500;

  /** Longest time for which a pool goes first without getting the instances. */
  private static final long MAX_TURN_MS = 10_000;

  /**
   * What a pool holds and needs, in instances.
   *
   * @param without how many it needs without its gangs
   * @param with how many it needs with the widest of its gangs
   * @param usable on how many tasks may start now
   */
  record Claim(int without, int with, int usable) {}

  /** When each pool with a gang came last in the order. */
  private final Map<String, Long> queuedAtMs = new HashMap<>();

  /** Since when each pool that goes first may start its gang. */
  private final Map<String, Long> satisfiedSinceMs = new HashMap<>();

  /** Since when each pool goes first. */
  private final Map<String, Long> turnSinceMs = new HashMap<>();

  /**
   * Returns the pools whose gangs count now.
   *
   * @param claims the claims of all pools, by name
   * @param instances the number of all instances
   */
  List<String> choose(Map<String, Claim> claims, int instances, long nowMs) {
    List<String> waiting = new ArrayList<>();
    new TreeMap<>(claims)
        .forEach(
            (pool, claim) -> {
              if (claim.with() > claim.without()) {
                queuedAtMs.putIfAbsent(pool, nowMs);
                waiting.add(pool);
              }
            });
    queuedAtMs.keySet().retainAll(waiting);
    waiting.forEach(pool -> updateTurn(pool, claims.get(pool), nowMs));
    waiting.sort(Comparator.comparing(queuedAtMs::get));
    int remaining = instances - claims.values().stream().mapToInt(Claim::without).sum();
    List<String> chosen = new ArrayList<>();
    for (String pool : waiting) {
      Claim claim = claims.get(pool);
      if (claim.with() - claim.without() <= remaining) {
        remaining -= claim.with() - claim.without();
        chosen.add(pool);
      }
    }
    turnSinceMs.keySet().retainAll(chosen);
    satisfiedSinceMs.keySet().retainAll(chosen);
    chosen.forEach(pool -> turnSinceMs.putIfAbsent(pool, nowMs));
    return chosen;
  }

  /** Puts a pool last whose turn is over. */
  private void updateTurn(String pool, Claim claim, long nowMs) {
    if (claim.usable() < claim.with()) {
      satisfiedSinceMs.remove(pool);
    } else {
      satisfiedSinceMs.putIfAbsent(pool, nowMs);
    }
    if (nowMs - satisfiedSinceMs.getOrDefault(pool, nowMs) > SATISFIED_TURN_MS
        || nowMs - turnSinceMs.getOrDefault(pool, nowMs) > MAX_TURN_MS) {
      queuedAtMs.put(pool, nowMs);
      satisfiedSinceMs.remove(pool);
      turnSinceMs.remove(pool);
    }
  }
}
