package org.laburnumarch.internal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;

/**
 * Replies of the owner that a later owner could contradict if they were given at once: they rely on
 * progress that has not been stored, or on there being no later owner. Used on one thread only.
 */
final class PendingReplies implements AutoCloseable {

  /**
   * A reply that waits.
   *
   * @param awaited number of the batch that has to be stored, or the local time after which a
   *     renewal has to be sent
   * @param reply supplies the reply once that is so
   */
  private record Pending(
      long awaited, Supplier<JobReply> reply, CompletableFuture<JobReply> result) {}

  private final JobReply refusal;
  private final List<Pending> awaitingBatch = new ArrayList<>();
  private final List<Pending> awaitingRenewal = new ArrayList<>();
  private long storedBatchNumber;

  /**
   * Creates an empty collection.
   *
   * @param refusal the reply in place of one for which the ownership cannot be proved
   */
  PendingReplies(JobReply refusal) {
    this.refusal = refusal;
  }

  /** Returns a reply that is given when a batch of progress has been stored. */
  CompletionStage<JobReply> afterBatch(long batchNumber, Supplier<JobReply> reply) {
    return batchNumber <= storedBatchNumber
        ? CompletableFuture.completedStage(reply.get())
        : add(awaitingBatch, batchNumber, reply);
  }

  /**
   * Returns a reply that is given when a renewal has been stored that was sent after a local time.
   */
  CompletionStage<JobReply> afterRenewal(long atMs, Supplier<JobReply> reply) {
    return add(awaitingRenewal, atMs, reply);
  }

  private static CompletionStage<JobReply> add(
      List<Pending> replies, long awaited, Supplier<JobReply> reply) {
    CompletableFuture<JobReply> result = new CompletableFuture<>();
    replies.add(new Pending(awaited, reply, result));
    return result;
  }

  /** Gives the replies that wait for a batch of progress or an earlier one. */
  void onBatchStored(long batchNumber) {
    storedBatchNumber = batchNumber;
    give(awaitingBatch, awaited -> awaited <= batchNumber);
  }

  /**
   * Gives the replies that have waited for a renewal.
   *
   * @param isRenewedSince returns whether a renewal has been stored that was sent after a time
   */
  void onRenewed(LongPredicate isRenewedSince) {
    give(awaitingRenewal, isRenewedSince);
  }

  /** Refuses what waits for a renewal, because another daemon may have claimed the ownership. */
  void refuseUnproved() {
    take(awaitingRenewal, awaited -> true).forEach(pending -> pending.result().complete(refusal));
  }

  private static void give(List<Pending> replies, LongPredicate isDue) {
    take(replies, isDue).forEach(pending -> pending.result().complete(pending.reply().get()));
  }

  private static List<Pending> take(List<Pending> replies, LongPredicate isDue) {
    List<Pending> due = new ArrayList<>();
    replies.removeIf(
        pending -> {
          boolean isTaken = isDue.test(pending.awaited());
          if (isTaken) {
            due.add(pending);
          }
          return isTaken;
        });
    return due;
  }

  /** Ends the wait of all replies; whether the awaited writes are stored is not known. */
  @Override
  public void close() {
    refuseUnproved();
    take(awaitingBatch, awaited -> true)
        .forEach(pending -> pending.result().complete(JobReply.of(Code.UNDECIDED)));
  }
}
