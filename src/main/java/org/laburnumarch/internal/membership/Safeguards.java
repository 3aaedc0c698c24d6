package org.laburnumarch.internal.membership;

/**
 * Safety mechanisms that tests disable one at a time to verify that the tests detect it.
 *
 * @param reclaimWaitMs wait before the allowance of an expelled member is reclaimed
 * @param unlockWaitMs wait before units of a new split are unlocked
 * @param isMajorityNeeded whether outage mode needs a majority of the counting members
 */
record Safeguards(long reclaimWaitMs, long unlockWaitMs, boolean isMajorityNeeded) {

  static final Safeguards ALL =
      new Safeguards(MemberTimes.RECLAIM_WAIT_MS, MemberTimes.RECLAIM_WAIT_MS, true);
}
