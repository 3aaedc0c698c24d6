package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.ArgumentMatchers.any;
import static org.mockito.ArgumentMatchers.anyLong;
import static org.mockito.Mockito.doAnswer;
import static org.mockito.Mockito.mock;
import static org.mockito.Mockito.when;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests what callers are told without a reply of the owner, in virtual time. */
class JobRouterTest {

  private static final long TIMEOUT_MS = 3_000;

  private final EventLoopThread loop = mock(EventLoopThread.class);
  private final SuspendAwareClock clock = mock(SuspendAwareClock.class);
  private final Owner owner = mock(Owner.class);
  private final Deque<Runnable> delayed = new ArrayDeque<>();
  private final CompletableFuture<JobReply> ownersReply = new CompletableFuture<>();
  private final JobRouter router = new JobRouter(loop, clock);

  @BeforeEach
  void answerWithOwnersReply() {
    doAnswer(call -> delayed.add(call.getArgument(1))).when(loop).schedule(anyLong(), any());
    when(owner.call(any(), any(), any(), any(), anyLong())).thenReturn(ownersReply);
  }

  private CompletableFuture<JobReply> call(CallKind kind) {
    return router
        .call(kind, "queue", "00000000000000a1", new byte[0], TIMEOUT_MS)
        .toCompletableFuture();
  }

  private static Code codeOf(CompletableFuture<JobReply> answer) {
    assertThat(answer).isCompleted();
    return answer.join().code();
  }

  @Nested
  class WhenAnOwnerHasNotReplied {

    @BeforeEach
    void useOwner() {
      router.useOwner(Optional.of(owner));
    }

    /** Guards against a refusal of a job that the owner stores, and starts, a moment later. */
    @Test
    void shouldNotRefuseASubmission() {
      CompletableFuture<JobReply> answer = call(CallKind.SUBMIT);
      router.close();
      assertThat(codeOf(answer)).isEqualTo(Code.UNDECIDED);
    }

    @Test
    void shouldRefuseARead() {
      CompletableFuture<JobReply> answer = call(CallKind.STATUS);
      router.close();
      assertThat(codeOf(answer)).isEqualTo(Code.UNAVAILABLE);
    }

    /**
     * Guards against a caller that waits in vain for an owner in the same process, whose write the
     * store does not answer.
     */
    @Test
    void shouldAnswerBeforeTheCallerStopsWaiting() {
      CompletableFuture<JobReply> answer = call(CallKind.SUBMIT);
      assertThat(delayed).hasSize(1);
      delayed.remove().run();
      assertThat(codeOf(answer)).isEqualTo(Code.UNDECIDED);
    }

    /** Guards against requests that are sent again although their callers have an answer. */
    @Test
    void shouldNotSendAnAnsweredRequestAgain() {
      CompletableFuture<JobReply> answer = call(CallKind.SUBMIT);
      router.close();
      delayed.clear();
      ownersReply.complete(JobReply.refuse(Code.UNAVAILABLE, 0));
      assertThat(codeOf(answer)).isEqualTo(Code.UNDECIDED);
      assertThat(delayed).isEmpty();
    }
  }

  @Nested
  class WhenNoOwnerIsKnown {

    /** Guards against callers that are told to ask for a job which was certainly not stored. */
    @Test
    void shouldRefuseASubmission() {
      CompletableFuture<JobReply> answer = call(CallKind.SUBMIT);
      assertThat(router.pendingRequests()).isEqualTo(1);
      router.close();
      assertThat(codeOf(answer)).isEqualTo(Code.UNAVAILABLE);
      assertThat(router.pendingRequests()).isZero();
    }

    /** Guards against a stop that is delayed by requests which nobody can serve. */
    @Test
    void shouldRefuseAtOnceWhileTheDaemonDrains() {
      CompletableFuture<JobReply> waiting = call(CallKind.SUBMIT);
      router.stopWaitingForOwner();
      assertThat(codeOf(waiting)).isEqualTo(Code.UNAVAILABLE);
      assertThat(codeOf(call(CallKind.STATUS))).isEqualTo(Code.UNAVAILABLE);
    }

    /** Guards against a refusal after an earlier owner may have stored the job. */
    @Test
    void shouldNotRefuseASubmissionThatAnEarlierOwnerMayHaveStored() {
      router.useOwner(Optional.of(owner));
      CompletableFuture<JobReply> answer = call(CallKind.SUBMIT);
      router.useOwner(Optional.empty());
      ownersReply.complete(JobReply.of(Code.UNDECIDED));
      assertThat(answer).isNotDone();
      router.close();
      assertThat(codeOf(answer)).isEqualTo(Code.UNDECIDED);
    }

    /** Guards against a request that arrives on an open connection and waits until it is cut. */
    @Test
    void shouldRefuseLaterRequestsAtOnce() {
      router.close();
      assertThat(codeOf(call(CallKind.SUBMIT))).isEqualTo(Code.UNAVAILABLE);
    }
  }
}
