package org.laburnumarch.internal.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * The times at which refused callers of one pool are invited to come back, for floods of many times
 * what the pool holds. Each second of the pool is given away once, and to each team only its share
 * of it; within a team the first refused is invited first.
 */
final class ReturnCalendar {

  private static final long SLOT_MS = 1_000;

  /** Time after its invitation for which a caller that has not come back keeps its place. */
  private static final long KEEP_MS = 10_000;

  /** Largest number of callers with a place; further ones are invited behind the last. */
  private static final int MAX_CALLERS = 20_000;

  /** Largest time of the pool that is kept for one job. */
  private static final double MAX_JOB_MS = 60_000;

  /** Smallest part of a slot that counts as free. */
  private static final double MIN_FREE_MS = 1;

  /**
   * A refused caller.
   *
   * @param team its team
   * @param firstRefusedAtMs local time of its first refusal
   * @param invitedAtMs local time at which it is to come back
   * @param poolMs the time of the whole pool that its job takes
   */
  record Invitation(String team, long firstRefusedAtMs, long invitedAtMs, double poolMs) {}

  private final Map<String, Invitation> invitations = new LinkedHashMap<>();

  /** Time of the pool that is given away, by slot and team. */
  private final NavigableMap<Long, Map<String, Double>> slots = new TreeMap<>();

  /** Slots that each caller's job occupies. */
  private final Map<String, Map<Long, Double>> occupied = new HashMap<>();

  private long removeAtMs = Long.MIN_VALUE;

  /** Last time given to a new caller of each team. */
  private final Map<String, Long> lastInvitedAtMs = new HashMap<>();

  /**
   * Invites a caller, or repeats its invitation if that is still to come.
   *
   * @param earliestAtMs local time from which room is expected
   * @param shareFraction share of each team, among those that want the pool now
   * @return the invitation, a whole number of seconds from now
   */
  Invitation invite(
      String id,
      String team,
      double poolMs,
      long earliestAtMs,
      ToDoubleFunction<String> shareFraction,
      long nowMs) {
    removePast(nowMs);
    Invitation known = invitations.get(id);
    if (known != null && known.invitedAtMs() > nowMs) {
      return known;
    }
    release(id);
    long lastMs = lastInvitedAtMs.getOrDefault(team, nowMs);
    if (known == null && invitations.size() >= MAX_CALLERS) {
      return new Invitation(team, nowMs, inWholeSeconds(Math.max(lastMs, earliestAtMs), nowMs), 0);
    }
    // One that comes back in vain goes before those that were refused later.
    long notBeforeMs = Math.max(earliestAtMs, known == null ? lastMs : nowMs);
    double teamMs = SLOT_MS * shareFraction.applyAsDouble(team);
    long atMs = inWholeSeconds(notBeforeMs, nowMs);
    while (freeMs(slot(atMs), team, teamMs) < MIN_FREE_MS) {
      atMs += SLOT_MS;
    }
    long firstRefusedAtMs = known == null ? nowMs : known.firstRefusedAtMs();
    Invitation invitation = new Invitation(team, firstRefusedAtMs, atMs, poolMs);
    place(id, invitation, teamMs);
    if (known == null) {
      lastInvitedAtMs.merge(team, atMs, Math::max);
    }
    return invitation;
  }

  private void place(String id, Invitation invitation, double teamMs) {
    Map<Long, Double> taken = new HashMap<>();
    double leftMs = Math.min(MAX_JOB_MS, Math.max(MIN_FREE_MS, invitation.poolMs()));
    for (long slot = slot(invitation.invitedAtMs()); leftMs > 0; slot++) {
      double takenMs = Math.min(leftMs, freeMs(slot, invitation.team(), teamMs));
      if (takenMs > 0) {
        taken.put(slot, takenMs);
        slots
            .computeIfAbsent(slot, key -> new HashMap<>())
            .merge(invitation.team(), takenMs, Double::sum);
        leftMs -= takenMs;
      }
    }
    occupied.put(id, taken);
    invitations.put(id, invitation);
  }

  /** Removes a caller whose job has been accepted, and frees its place. */
  void release(String id) {
    Invitation invitation = invitations.remove(id);
    Map<Long, Double> taken = occupied.remove(id);
    if (invitation != null && taken != null) {
      taken.forEach(
          (slot, ms) ->
              slots.computeIfPresent(
                  slot,
                  (key, teams) -> {
                    teams.merge(invitation.team(), -ms, Double::sum);
                    return teams;
                  }));
    }
  }

  private static long slot(long atMs) {
    return Math.floorDiv(atMs, SLOT_MS);
  }

  private static long inWholeSeconds(long notBeforeMs, long nowMs) {
    return nowMs + Math.max(1, -Math.floorDiv(nowMs - notBeforeMs, SLOT_MS)) * SLOT_MS;
  }

  private double freeMs(long slot, String team, double teamMs) {
    Map<String, Double> used = slots.getOrDefault(slot, Map.of());
    double total = used.values().stream().mapToDouble(ms -> ms).sum();
    double own = Math.max(MIN_FREE_MS, teamMs) - used.getOrDefault(team, 0.0);
    return Math.max(0, Math.min(own, SLOT_MS - total));
  }

  private void removePast(long nowMs) {
    if (nowMs < removeAtMs) {
      return;
    }
    removeAtMs = nowMs + SLOT_MS;
    slots.headMap(slot(nowMs)).clear();
    List<String> past = new ArrayList<>();
    invitations.forEach(
        (id, invitation) -> {
          if (nowMs - invitation.invitedAtMs() > KEEP_MS) {
            past.add(id);
          }
        });
    past.forEach(this::release);
    lastInvitedAtMs.values().removeIf(atMs -> atMs < nowMs);
  }

  /** Returns the callers that are to come back, the next one first. */
  List<Map.Entry<String, Invitation>> next() {
    return invitations.entrySet().stream()
        .sorted(Comparator.comparingLong(entry -> entry.getValue().invitedAtMs()))
        .toList();
  }

  /** Restores an invitation of an earlier owner; its place is not limited to the team's share. */
  void restore(String id, Invitation invitation) {
    place(id, invitation, SLOT_MS);
    lastInvitedAtMs.merge(invitation.team(), invitation.invitedAtMs(), Math::max);
  }
}
