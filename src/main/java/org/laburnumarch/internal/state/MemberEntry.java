package org.laburnumarch.internal.state;

/**
 * A daemon that has joined the fleet.
 *
 * @param memberId id of its process incarnation; each start of a process has a new one
 * @param seat number of its seat, that is, of its share of the connections to minions, or {@link
 *     #NO_SEAT}
 * @param joinedAtOffset offset of its {@code MemberJoined}
 * @param status its status between its joining and the reclaiming of its allowance
 * @param isCounting whether it is in the counting set, that is, counts toward majorities
 * @param acknowledgedOffset the member has acknowledged all records below this offset
 * @param suspectedAtOffset offset of the suspicion that has not been refuted, or {@link #NO_OFFSET}
 * @param departedAtOffset offset of its departure, or {@link #NO_OFFSET}
 * @param suspectedAtEpochMs log time of the suspicion; 0 without one
 */
public record MemberEntry(
    String memberId,
    String instance,
    String dataCentre,
    String peerAddress,
    int seat,
    long joinedAtOffset,
    MemberStatus status,
    boolean isCounting,
    long acknowledgedOffset,
    long suspectedAtOffset,
    long departedAtOffset,
    long suspectedAtEpochMs) {

  /** Seat of a member that has none. */
  public static final int NO_SEAT = -1;

  /** Offset of an event that has not happened. */
  public static final long NO_OFFSET = -1;

  /** Creates an entry with 0 as the log time of a suspicion. */
  public MemberEntry(
      String memberId,
      String instance,
      String dataCentre,
      String peerAddress,
      int seat,
      long joinedAtOffset,
      MemberStatus status,
      boolean isCounting,
      long acknowledgedOffset,
      long suspectedAtOffset,
      long departedAtOffset) {
    this(
        memberId,
        instance,
        dataCentre,
        peerAddress,
        seat,
        joinedAtOffset,
        status,
        isCounting,
        acknowledgedOffset,
        suspectedAtOffset,
        departedAtOffset,
        0);
  }

  /** Returns whether it has not departed. */
  public boolean isActive() {
    return !status.isDeparted();
  }

  /** Returns whether it holds a seat. */
  public boolean isSeated() {
    return seat != NO_SEAT;
  }

  /** Returns whether it is suspected and has not refuted the suspicion. */
  public boolean isSuspected() {
    return suspectedAtOffset != NO_OFFSET;
  }

  /** Returns the entry with another seat. */
  public MemberEntry withSeat(int newSeat) {
    return copy(newSeat, status, isCounting, acknowledgedOffset, departedAtOffset);
  }

  /** Returns the entry inside or outside the counting set. */
  public MemberEntry withCounting(boolean counting) {
    return copy(seat, status, counting, acknowledgedOffset, departedAtOffset);
  }

  /** Returns the entry with an acknowledgement; an offset below the current one changes nothing. */
  public MemberEntry withAcknowledged(long throughOffset) {
    long highest = Math.max(acknowledgedOffset, throughOffset);
    return copy(seat, status, isCounting, highest, departedAtOffset);
  }

  /** Returns the entry of a member that has departed. */
  public MemberEntry departed(MemberStatus newStatus, long atOffset) {
    return copy(seat, newStatus, isCounting, acknowledgedOffset, atOffset);
  }

  /** Returns the entry with a suspicion. */
  public MemberEntry suspected(long atOffset, long atEpochMs) {
    return withSuspicion(atOffset, atEpochMs);
  }

  /** Returns the entry without a suspicion. */
  public MemberEntry refuted() {
    return withSuspicion(NO_OFFSET, 0);
  }

  private MemberEntry withSuspicion(long atOffset, long atEpochMs) {
    return new MemberEntry(
        memberId,
        instance,
        dataCentre,
        peerAddress,
        seat,
        joinedAtOffset,
        status,
        isCounting,
        acknowledgedOffset,
        atOffset,
        departedAtOffset,
        atEpochMs);
  }

  private MemberEntry copy(
      int newSeat,
      MemberStatus newStatus,
      boolean newCounting,
      long newAcknowledgedOffset,
      long newDepartedAtOffset) {
    return new MemberEntry(
        memberId,
        instance,
        dataCentre,
        peerAddress,
        newSeat,
        joinedAtOffset,
        newStatus,
        newCounting,
        newAcknowledgedOffset,
        suspectedAtOffset,
        newDepartedAtOffset,
        suspectedAtEpochMs);
  }
}
