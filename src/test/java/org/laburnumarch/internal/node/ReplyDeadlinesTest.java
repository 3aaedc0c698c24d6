package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.LinkMessage.CallKind;

class ReplyDeadlinesTest {

  private static final long ARRIVED_MS = 50_000;
  private static final long TIMEOUT_MS = 3_000;
  private static final JobReply OK = JobReply.of(Code.OK);
  private static final JobReply UNDECIDED = JobReply.of(Code.UNDECIDED);
  private static final JobReply UNAVAILABLE = JobReply.refuse(Code.UNAVAILABLE, 1_000);

  private final ReplyDeadlines submission =
      new ReplyDeadlines(CallKind.SUBMIT, ARRIVED_MS, TIMEOUT_MS);

  @Nested
  class WhenASubmissionMayHaveBeenStored {

    /**
     * Guards against telling a caller that the outcome is unknown although the next owner knows it.
     * The owner froze with the submission, and its silence was noticed a second later.
     */
    @Test
    void shouldAskTheNextOwnerWithinTheCallersTime() {
      assertThat(submission.answer(UNDECIDED, ARRIVED_MS + 1_050)).isEmpty();
      assertThat(submission.answer(UNAVAILABLE, ARRIVED_MS + 1_900)).isEmpty();
      assertThat(submission.answer(OK, ARRIVED_MS + 2_100)).contains(OK);
    }

    /** Guards against a refusal after which the caller takes the job for one that never ran. */
    @Test
    void shouldNeverBeRefused() {
      assertThat(submission.answer(UNDECIDED, ARRIVED_MS + 200)).isEmpty();
      assertThat(submission.answer(UNAVAILABLE, ARRIVED_MS + 2_950)).contains(UNDECIDED);
    }

    @Test
    void shouldAnswerBeforeTheCallerStopsWaiting() {
      assertThat(submission.answer(UNDECIDED, ARRIVED_MS + TIMEOUT_MS - 90)).contains(UNDECIDED);
    }
  }

  @Nested
  class WhenASubmissionWasNotSent {

    @Test
    void shouldWaitAWhileForAnOwner() {
      assertThat(submission.answer(UNAVAILABLE, ARRIVED_MS + 500)).isEmpty();
    }

    @Test
    void shouldBeRefusedInTimeForTheCallerToComeBack() {
      assertThat(submission.answer(UNAVAILABLE, ARRIVED_MS + ReplyDeadlines.OWNER_WAIT_MS))
          .contains(UNAVAILABLE);
    }

    @Test
    void shouldBeRefusedAtOnceIfTheCallerHasNoTime() {
      ReplyDeadlines hurried = new ReplyDeadlines(CallKind.SUBMIT, ARRIVED_MS, 50);
      assertThat(hurried.answer(UNAVAILABLE, ARRIVED_MS)).contains(UNAVAILABLE);
    }
  }

  @Nested
  class WhenAReadGetsNoReply {

    @Test
    void shouldBeRepeatedForTheShortWaitOnly() {
      ReplyDeadlines status = new ReplyDeadlines(CallKind.STATUS, ARRIVED_MS, TIMEOUT_MS);
      assertThat(status.answer(UNDECIDED, ARRIVED_MS + 400)).isEmpty();
      assertThat(status.answer(UNDECIDED, ARRIVED_MS + 1_000)).contains(UNDECIDED);
    }
  }
}
