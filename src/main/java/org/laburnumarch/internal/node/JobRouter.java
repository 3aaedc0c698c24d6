package org.laburnumarch.internal.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.JobService;
import org.laburnumarch.internal.link.LinkClient;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.time.SuspendAwareClock;

/**
 * Forwards callers' requests to the owner, in this process or over the link. All requests are
 * idempotent by the job's id, so a request whose reply is lost with the link is sent again to the
 * next owner. Used on one thread only.
 */
final class JobRouter implements JobService {

  /** Longest time that a request waits for an owner before the caller is told to retry later. */
  private static final long OWNER_WAIT_MS = 1_000;

  /** Part of the caller's timeout that is reserved for sending the response. */
  private static final long RESPONSE_MARGIN_MS = 100;

  private static final long RETRY_EVERY_MS = 40;

  /** Time after which a caller should retry if there is no owner. */
  private static final long RETRY_AFTER_MS = 1_000;

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private Optional<Owner> owner = Optional.empty();
  private Optional<LinkClient> link = Optional.empty();

  JobRouter(EventLoopThread loop, SuspendAwareClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  void useOwner(Optional<Owner> newOwner) {
    this.owner = newOwner;
  }

  void useLink(Optional<LinkClient> newLink) {
    this.link = newLink;
  }

  /** Returns whether requests can be sent to an owner. */
  boolean isConnected() {
    return owner.isPresent() || link.map(LinkClient::isConnected).orElse(false);
  }

  @Override
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs) {
    long nowMs = clock.nowMs();
    PendingRequest request =
        new PendingRequest(
            kind,
            queue,
            jobId,
            payload,
            nowMs + Math.max(0, timeoutMs - RESPONSE_MARGIN_MS),
            nowMs + OWNER_WAIT_MS);
    request.attempt();
    return request.result;
  }

  /** A request without a final reply. */
  private final class PendingRequest {
    private final CallKind kind;
    private final String queue;
    private final String jobId;
    private final byte[] payload;
    private final long responseDeadlineMs;
    private final long ownerDeadlineMs;
    private final CompletableFuture<JobReply> result = new CompletableFuture<>();
    private boolean mayHaveTakenEffect;

    PendingRequest(
        CallKind kind,
        String queue,
        String jobId,
        byte[] payload,
        long responseDeadlineMs,
        long ownerDeadlineMs) {
      this.kind = kind;
      this.queue = queue;
      this.jobId = jobId;
      this.payload = payload;
      this.responseDeadlineMs = responseDeadlineMs;
      this.ownerDeadlineMs = ownerDeadlineMs;
    }

    void attempt() {
      long remainingMs = responseDeadlineMs - clock.nowMs();
      if (owner.isPresent()) {
        owner.get().call(kind, queue, jobId, payload, remainingMs).thenAccept(this::onReply);
      } else if (remainingMs > 0 && link.map(LinkClient::isConnected).orElse(false)) {
        link.get().call(kind, queue, jobId, payload, remainingMs).thenAccept(this::onReply);
      } else {
        onReply(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS));
      }
    }

    private void onReply(JobReply reply) {
      boolean isFinal = reply.code() != Code.UNAVAILABLE && reply.code() != Code.UNDECIDED;
      long nowMs = clock.nowMs();
      mayHaveTakenEffect |= reply.code() == Code.UNDECIDED;
      if (isFinal) {
        result.complete(reply);
      } else if (nowMs >= ownerDeadlineMs || nowMs >= responseDeadlineMs) {
        result.complete(mayHaveTakenEffect ? JobReply.of(Code.UNDECIDED) : reply);
      } else {
        loop.schedule(RETRY_EVERY_MS, this::attempt);
      }
    }
  }
}
