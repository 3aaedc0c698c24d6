package org.laburnumarch.internal.link;

import org.laburnumarch.internal.lead.DaemonState;

/** A message between two daemons. */
public sealed interface LinkMessage {

  /**
   * A caller's request that is forwarded to the owner.
   *
   * @param id number that identifies the call; the reply has the same
   * @param kind kind of the request
   * @param queue name of the queue
   * @param jobId id of the job; empty for a request that concerns the queue
   * @param payload the encoded job for a submission; otherwise empty
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(long id, CallKind kind, String queue, String jobId, byte[] payload)
      implements LinkMessage {}

  /**
   * The owner's reply to a call.
   *
   * @param id number of the call
   * @param reply outcome of the request
   */
  record Reply(long id, JobReply reply) implements LinkMessage {}

  /**
   * The state of the sending daemon. A daemon sends it when it accepts a connection and in response
   * to an announcement; the owner also sends it periodically.
   *
   * @param holder name of the sending process
   * @param term number of its ownership; 0 if it does not own the fleet
   * @param renewalNumber number of its newest renewal
   * @param renewalAgeMs age of its newest renewal, in milliseconds
   * @param configVersion version of the configuration that it applies
   * @param configAgeMs time since it last confirmed that no newer configuration exists, in
   *     milliseconds
   * @param isSeekingSuccessor whether the receiver should report its state, since the sender may
   *     offer it the ownership
   */
  record Heartbeat(
      String holder,
      long term,
      long renewalNumber,
      long renewalAgeMs,
      long configVersion,
      long configAgeMs,
      boolean isSeekingSuccessor)
      implements LinkMessage {

    /** Creates a heartbeat of a daemon that seeks no successor. */
    public Heartbeat(
        String holder,
        long term,
        long renewalNumber,
        long renewalAgeMs,
        long configVersion,
        long configAgeMs) {
      this(holder, term, renewalNumber, renewalAgeMs, configVersion, configAgeMs, false);
    }
  }

  /**
   * Announces that the sender owns the fleet. Reaches daemons that cannot read the store.
   *
   * @param record the encoded record of the ownership
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Announcement(byte[] record) implements LinkMessage {}

  /** Requests the operators' records; sent by a daemon that cannot read the store. */
  record RecordsRequest() implements LinkMessage {}

  /**
   * One of the operators' records.
   *
   * @param key the record's key
   * @param value the record's encoded value
   * @param offset the record's offset in the log
   */
  @SuppressWarnings("ArrayRecordComponent")
  record OperatorRecord(String key, byte[] value, long offset) implements LinkMessage {}

  /** A message of the planned handover of the ownership. */
  sealed interface HandoverMessage extends LinkMessage {}

  /** Reports the state of a daemon to an owner that seeks a successor. */
  record StateReport(DaemonState state) implements HandoverMessage {}

  /**
   * Offers the ownership to the receiver.
   *
   * @param term number of the ownership
   * @param number number of the offer in this ownership; the reply has the same
   */
  record Offer(long term, long number) implements HandoverMessage {}

  /**
   * The reply to an offer.
   *
   * @param number number of the offer
   * @param cause why it is not accepted; empty if it is accepted
   */
  record OfferReply(long number, String cause) implements HandoverMessage {

    /** Returns whether the offer is accepted. */
    public boolean isAccepted() {
      return cause.isEmpty();
    }
  }

  /**
   * The sender has stopped giving orders and has released the ownership to the receiver.
   *
   * @param record the encoded record that releases it
   * @param endOffset end offset of the ownership log after that record; -1 if it may not be stored
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Released(byte[] record, long endOffset) implements HandoverMessage {}

  /** The kind of a call. */
  enum CallKind {
    SUBMIT,
    STATUS,
    CANCEL,
    WAITING
  }
}
