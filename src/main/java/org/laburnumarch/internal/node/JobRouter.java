package org.laburnumarch.internal.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
  private final Set<PendingRequest> pending = new LinkedHashSet<>();
  private boolean isWaitingForOwner = true;
  private boolean isClosed;

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

  /** Returns the number of requests without an answer. */
  int pendingRequests() {
    return pending.size();
  }

  /** Returns how long the oldest request without an answer has waited; 0 if there is none. */
  long longestWaitMs() {
    long nowMs = clock.nowMs();
    return pending.stream().findFirst().map(oldest -> nowMs - oldest.arrivedAtMs).orElse(0L);
  }

  /** Refuses at once, from now on, what no owner can have made, instead of waiting for an owner. */
  void stopWaitingForOwner() {
    isWaitingForOwner = false;
    List.copyOf(pending).forEach(PendingRequest::refuseIfNotMade);
  }

  /**
   * Answers all requests and refuses later ones: changes that an owner may have made are undecided,
   * all others are refused.
   *
   * @return the answers that were given now
   */
  List<JobReply> close() {
    isClosed = true;
    List<JobReply> answers = new ArrayList<>();
    for (PendingRequest request : List.copyOf(pending)) {
      request.answerWithoutOwner();
      answers.add(request.result.join());
    }
    return answers;
  }

  @Override
  public CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs) {
    if (isClosed) {
      return CompletableFuture.completedStage(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS));
    }
    long nowMs = clock.nowMs();
    PendingRequest request =
        new PendingRequest(
            kind, queue, jobId, payload, nowMs, new ReplyDeadlines(kind, nowMs, timeoutMs));
    pending.add(request);
    request.attempt();
    return request.result;
  }

  /** A request without a final reply. */
  private final class PendingRequest {
    private final CallKind kind;
    private final String queue;
    private final String jobId;
    private final byte[] payload;
    private final long arrivedAtMs;
    private final ReplyDeadlines deadlines;
    private final CompletableFuture<JobReply> result = new CompletableFuture<>();
    private boolean isSent;

    PendingRequest(
        CallKind kind,
        String queue,
        String jobId,
        byte[] payload,
        long arrivedAtMs,
        ReplyDeadlines deadlines) {
      this.kind = kind;
      this.queue = queue;
      this.jobId = jobId;
      this.payload = payload;
      this.arrivedAtMs = arrivedAtMs;
      this.deadlines = deadlines;
    }

    void attempt() {
      if (result.isDone()) {
        return;
      }
      long remainingMs = deadlines.remainingMs(clock.nowMs());
      if (owner.isPresent()) {
        isSent = true;
        CompletionStage<JobReply> reply =
            owner.get().call(kind, queue, jobId, payload, remainingMs);
        reply.thenAccept(received -> onReply(received, RETRY_AT_OWNER_MS));
        if (!result.isDone()) {
          // Unlike the link, an owner in this process replies only when the store has answered.
          loop.schedule(Math.max(0, remainingMs), this::answerWithoutOwner);
        }
      } else if (remainingMs > 0 && link.map(LinkClient::isConnected).orElse(false)) {
        isSent = true;
        link.get()
            .call(kind, queue, jobId, payload, remainingMs)
            .thenAccept(reply -> onReply(reply, RETRY_AT_OWNER_MS));
      } else {
        onReply(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS), RETRY_EVERY_MS);
      }
    }

    private void onReply(JobReply reply, long pauseMs) {
      isSent = false;
      Optional<JobReply> answer = deadlines.answer(reply, clock.nowMs());
      if (answer.isPresent()) {
        complete(answer.get());
      } else if (!isWaitingForOwner) {
        refuseIfNotMade();
      }
      if (!result.isDone()) {
        loop.schedule(reply.code() == Code.UNDECIDED ? RETRY_EVERY_MS : pauseMs, this::attempt);
      }
    }

    private void refuseIfNotMade() {
      if (!isSent && !deadlines.mayHaveTakenEffect(false)) {
        complete(JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS));
      }
    }

    /** Answers now, without a reply of the owner; has no effect if the request is answered. */
    private void answerWithoutOwner() {
      complete(
          deadlines.mayHaveTakenEffect(isSent)
              ? JobReply.of(Code.UNDECIDED)
              : JobReply.refuse(Code.UNAVAILABLE, RETRY_AFTER_MS));
    }

    private void complete(JobReply answer) {
      pending.remove(this);
      result.complete(answer);
    }
  }
}
