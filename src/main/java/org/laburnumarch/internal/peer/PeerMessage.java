package org.laburnumarch.internal.peer;

import java.util.List;

/** A message between two daemons whose connection is authenticated. */
public sealed interface PeerMessage {

  /**
   * The status that a daemon reports about itself in each ping and pong.
   *
   * @param nextOffset the first offset of the control log that it has not applied
   * @param freshnessAgeMs how long ago its state was known to include the log's tail; {@link
   *     #NEVER_FRESH_MS} if it never was
   * @param heartbeats the time since the last heartbeat of each other member
   * @param demand its demand for each pool that has any
   */
  record Report(
      long nextOffset,
      long freshnessAgeMs,
      List<MemberHeartbeat> heartbeats,
      List<PoolDemand> demand) {

    /** Freshness age of a state that was never known to include the log's tail. */
    public static final long NEVER_FRESH_MS = Long.MAX_VALUE / 4;

    public Report {
      heartbeats = List.copyOf(heartbeats);
      demand = List.copyOf(demand);
    }
  }

  /**
   * Time since the last heartbeat of a member, received directly or reported by another member. Any
   * message of a member counts as a heartbeat.
   */
  record MemberHeartbeat(String memberId, long ageMs) {}

  /** Requests that a daemon has running and queued for a pool. */
  record PoolDemand(String pool, int running, int queued) {}

  /** Requests a {@link Pong}; the sender records its send time under {@code pingId}. */
  record Ping(long pingId, Report report) implements PeerMessage {}

  /** Response to a {@link Ping}. */
  record Pong(long pingId, Report report) implements PeerMessage {}

  /** Requests the records of the control log from an offset on. */
  record RecordsRequest(long fromOffset) implements PeerMessage {}

  /** Records of the control log in order, without gaps. */
  record Records(List<RecordData> records) implements PeerMessage {

    public Records {
      records = List.copyOf(records);
    }
  }

  /** One record of the control log as the log returned it. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record RecordData(long offset, long appendedAtEpochMs, byte[] data) {}

  /** Requests the whole state. */
  record SnapshotRequest() implements PeerMessage {}

  /** The whole state after all records below {@code nextOffset}. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record Snapshot(long nextOffset, byte[] state) implements PeerMessage {}

  /** Requests allowance for a team. */
  record AllowanceRequest(String team, int units) implements PeerMessage {}

  /**
   * Transfers allowance. Carries the total that the sender has transferred to the receiver in this
   * epoch.
   */
  record AllowanceTransfer(String team, long epoch, long cumulativeUnits) implements PeerMessage {}

  /**
   * Acknowledges transfers. Carries the total that the sender of this message has added to its own
   * units in this epoch for transfers from the receiver.
   */
  record AllowanceTransferAck(String team, long epoch, long cumulativeUnits)
      implements PeerMessage {}
}
