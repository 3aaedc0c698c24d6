package org.laburnumarch.internal.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.JobService;
import org.laburnumarch.internal.link.LinkClient;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.time.LocalClock;

/**
 * Passes callers' requests to the owner, here or over the link. All requests are idempotent by the
 * job's id, so one whose answer is lost with the link is sent again to the next owner. Used on one
 * thread only.
 */
final class JobRouter implements JobService {

  /** Longest time that a request waits for an owner before the caller is told to come back. */
  private static final long OWNER_WAIT_MS = 1_000;

  /** Time that is left for the answer to reach the caller. */
  private static final long ANSWER_MARGIN_MS = 100;

  private static final long RETRY_EVERY_MS = 40;

  /** When a caller may come back if there is no owner now. */
  private static final long RETRY_AFTER_MS = 1_000;

  private final HttpLoop loop;
  private final LocalClock clock;
  private Optional<Owner> owner = Optional.empty();
  private Optional<LinkClient> link = Optional.empty();

  JobRouter(HttpLoop loop, LocalClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  void useOwner(Optional<Owner> newOwner) {
    this.owner = newOwner;
  }

  void useLink(Optional<LinkClient> newLink) {
    this.link = newLink;
  }

  /** Returns whether an owner can be asked now. */
  boolean isConnected() {
    return owner.isPresent() || link.map(LinkClient::isConnected).orElse(false);
  }

  @Override
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long patienceMs) {
    long nowMs = clock.nowMs();
    Pending pending =
        new Pending(
            kind,
            queue,
            jobId,
            payload,
            nowMs + Math.max(0, patienceMs - ANSWER_MARGIN_MS),
            nowMs + OWNER_WAIT_MS);
    pending.attempt();
    return pending.result;
  }

  /** A request on its way. */
  private final class Pending {
    private final CallKind kind;
    private final String queue;
    private final String jobId;
    private final byte[] payload;
    private final long answerByMs;
    private final long ownerByMs;
    private final CompletableFuture<JobReply> result = new CompletableFuture<>();
    private boolean mayBeDone;

    Pending(
        CallKind kind,
        String queue,
        String jobId,
        byte[] payload,
        long answerByMs,
        long ownerByMs) {
      this.kind = kind;
      this.queue = queue;
      this.jobId = jobId;
      this.payload = payload;
      this.answerByMs = answerByMs;
      this.ownerByMs = ownerByMs;
    }

    void attempt() {
      long leftMs = answerByMs - clock.nowMs();
      if (owner.isPresent()) {
        owner.get().call(kind, queue, jobId, payload, leftMs).thenAccept(this::onReply);
      } else if (leftMs > 0 && link.map(LinkClient::isConnected).orElse(false)) {
        link.get().call(kind, queue, jobId, payload, leftMs).thenAccept(this::onReply);
      } else {
        onReply(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS));
      }
    }

    private void onReply(JobReply reply) {
      boolean isFinal = reply.code() != Code.UNAVAILABLE && reply.code() != Code.UNDECIDED;
      long nowMs = clock.nowMs();
      mayBeDone |= reply.code() == Code.UNDECIDED;
      if (isFinal) {
        result.complete(reply);
      } else if (nowMs >= ownerByMs || nowMs >= answerByMs) {
        result.complete(mayBeDone ? JobReply.of(Code.UNDECIDED) : reply);
      } else {
        loop.after(RETRY_EVERY_MS, this::attempt);
      }
    }
  }
}
