package org.laburnumarch.internal.operator;

import java.util.List;

/**
 * Log positions of the fleet's members, as known to one daemon.
 *
 * @param respondingMemberId member id of the daemon that responds
 * @param isReady whether that daemon accepts requests
 */
public record FleetStatus(String respondingMemberId, boolean isReady, List<MemberView> members) {

  public FleetStatus {
    members = List.copyOf(members);
  }

  /**
   * State of one member.
   *
   * @param nextOffset offset of the first log record that it has not applied
   * @param freshnessAgeMs time since its state was last known to be up to date, in milliseconds; -1
   *     if it never was or this is unknown
   * @param isCounting whether it counts for majorities
   * @param isAlive whether it is the responding daemon itself, or has sent it a report recently
   */
  public record MemberView(
      String memberId,
      String instance,
      String dataCentre,
      long nextOffset,
      long freshnessAgeMs,
      boolean isCounting,
      boolean isAlive) {}
}
