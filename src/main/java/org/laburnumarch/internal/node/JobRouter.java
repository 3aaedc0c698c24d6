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

  /** Pause before a request is sent again that found no owner. */
  private static final long RETRY_EVERY_MS = 40;

  /** Pause before a request is sent again that an owner could not serve. */
  private static final long RETRY_AT_OWNER_MS = 100;

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
    PendingRequest request =
        new PendingRequest(
            kind, queue, jobId, payload, new ReplyDeadlines(kind, clock.nowMs(), timeoutMs));
    request.attempt();
    return request.result;
  }

  /** A request without a final reply. */
  private final class PendingRequest {
    private final CallKind kind;
    private final String queue;
    private final String jobId;
    private final byte[] payload;
    private final ReplyDeadlines deadlines;
    private final CompletableFuture<JobReply> result = new CompletableFuture<>();

    PendingRequest(
        CallKind kind, String queue, String jobId, byte[] payload, ReplyDeadlines deadlines) {
      this.kind = kind;
      this.queue = queue;
      this.jobId = jobId;
      this.payload = payload;
      this.deadlines = deadlines;
    }

    void attempt() {
      long remainingMs = deadlines.remainingMs(clock.nowMs());
      if (owner.isPresent()) {
        owner
            .get()
            .call(kind, queue, jobId, payload, remainingMs)
            .thenAccept(reply -> onReply(reply, RETRY_AT_OWNER_MS));
      } else if (remainingMs > 0 && link.map(LinkClient::isConnected).orElse(false)) {
        link.get()
            .call(kind, queue, jobId, payload, remainingMs)
            .thenAccept(reply -> onReply(reply, RETRY_AT_OWNER_MS));
      } else {
        onReply(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS), RETRY_EVERY_MS);
      }
    }

    private void onReply(JobReply reply, long pauseMs) {
      Optional<JobReply> answer = deadlines.answer(reply, clock.nowMs());
      if (answer.isPresent()) {
        result.complete(answer.get());
      } else {
        loop.schedule(reply.code() == Code.UNDECIDED ? RETRY_EVERY_MS : pauseMs, this::attempt);
      }
    }
  }
}
