package org.laburnumarch.internal.link;

/** A message between two daemons. */
public sealed interface LinkMessage {

  /**
   * A caller's request, passed on to the owner.
   *
   * @param id number that the reply repeats
   * @param kind what is asked
   * @param queue name of the queue
   * @param jobId the job; empty for a question about the queue
   * @param payload the encoded job for a submission; else empty
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(long id, CallKind kind, String queue, String jobId, byte[] payload)
      implements LinkMessage {}

  /**
   * The owner's answer to a call.
   *
   * @param id number of the call
   * @param reply the answer
   */
  record Reply(long id, JobReply reply) implements LinkMessage {}

  /**
   * A regular sign of life of the owner, and any daemon's first word on a connection.
   *
   * @param holder name of the process
   * @param term number of its ownership; 0 if it does not own
   * @param beat number of its newest renewal
   * @param renewedAgoMs age of its newest renewal
   * @param configVersion version of the configuration that it has in force
   * @param configFreshAgoMs age of its knowledge that no newer version exists
   */
  record Pulse(
      String holder,
      long term,
      long beat,
      long renewedAgoMs,
      long configVersion,
      long configFreshAgoMs)
      implements LinkMessage {}

  /**
   * Tells that the sender owns the fleet. Reaches daemons that the store does not serve.
   *
   * @param record the encoded record of the ownership
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Announcement(byte[] record) implements LinkMessage {}

  /** Asks for the operators' records, by a daemon that the store does not serve. */
  record RecordsWanted() implements LinkMessage {}

  /**
   * One of the operators' records.
   *
   * @param key the record's key
   * @param value the record
   * @param offset the record's offset
   */
  @SuppressWarnings("ArrayRecordComponent")
  record OperatorRecord(String key, byte[] value, long offset) implements LinkMessage {}

  /** What a call asks for. */
  enum CallKind {
    SUBMIT,
    STATUS,
    CANCEL,
    WAITING
  }
}
