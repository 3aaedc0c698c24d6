package org.laburnumarch.internal.link;

import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.link.LinkMessage.CallKind;

/** Handles callers' requests, either in this daemon or by forwarding them to the owner. */
public interface JobService {

  /**
   * Executes or forwards one request.
   *
   * @param kind kind of the request
   * @param queue name of the queue
   * @param jobId id of the job; empty for a request that concerns the queue
   * @param payload the encoded job for a submission; otherwise empty
   * @param timeoutMs how long the caller waits for the response, from now
   */
  CompletionStage<JobReply> call(
      CallKind kind, String queue, String jobId, byte[] payload, long timeoutMs);
}
