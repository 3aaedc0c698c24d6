package org.laburnumarch.internal.link;

import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.link.LinkMessage.CallKind;

/** Answers callers' requests, here or at the owner. */
public interface JobService {

  /**
   * Answers one request.
   *
   * @param kind what is asked
   * @param queue name of the queue
   * @param jobId the job; empty for a question about the queue
   * @param payload the encoded job for a submission; else empty
   * @param patienceMs how long the caller waits for the answer, from now
   */
  CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long patienceMs);
}
