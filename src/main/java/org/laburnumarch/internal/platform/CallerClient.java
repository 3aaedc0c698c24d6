package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.http.PlatformHttpClient;
import org.laburnumarch.internal.http.PlatformHttpClient.Response;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.JobStatus;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.spi.PlatformException;

/**
 * Sends callers' requests to one daemon: submits and cancels jobs and asks for their status. Stages
 * fail with {@link PlatformException} when no complete response arrives.
 */
public final class CallerClient implements AutoCloseable {

  private static final byte[] NO_BODY = new byte[0];
  private static final int OK = 200;

  private final PlatformHttpClient client;
  private final String host;
  private final long timeoutMs;

  /**
   * Creates a client; no connection is opened before the first call.
   *
   * @param daemon address on which the daemon listens for callers
   * @param host host name in the Host header, which selects the queues
   * @param timeoutMs how long to wait for a response, in milliseconds
   */
  public CallerClient(InetSocketAddress daemon, String host, long timeoutMs, EventLoopThread loop) {
    this.client = new PlatformHttpClient(daemon, loop);
    this.host = host;
    this.timeoutMs = timeoutMs;
  }

  /**
   * A daemon's response to a caller.
   *
   * @param code the HTTP status code
   * @param retryAfterSeconds how long the caller should wait before it retries; empty if the daemon
   *     did not set it
   * @param status the job's status; empty if it was not requested or the job is unknown
   */
  public record Reply(int code, Optional<Long> retryAfterSeconds, Optional<JobStatus> status) {}

  /** Submits a job under its id; submitting it again has no effect. */
  public CompletionStage<Reply> submit(JobSpec job, String key) {
    return call(HttpRequestMethod.POST, job.queue(), job.id(), key, Json.encode(encodeJob(job)));
  }

  /** Asks for a job's status. */
  public CompletionStage<Reply> status(String queue, String jobId, String key) {
    return call(HttpRequestMethod.GET, queue, jobId, key, NO_BODY);
  }

  /** Cancels a job. */
  public CompletionStage<Reply> cancel(String queue, String jobId, String key) {
    return call(HttpRequestMethod.DELETE, queue, jobId, key, NO_BODY);
  }

  private CompletionStage<Reply> call(
      HttpRequestMethod method, String queue, String jobId, String key, byte[] body) {
    Map<String, String> headers =
        Map.of(
            "Host",
            host,
            "Content-Type",
            "application/json",
            "Authorization",
            "Token " + key,
            "X-Deadline-Ms",
            Long.toString(timeoutMs));
    return client.call(
        method, '/' + queue + '/' + jobId, headers, body, timeoutMs, CallerClient::toReply);
  }

  private static Reply toReply(Response response) {
    Optional<JobStatus> status = Optional.empty();
    if (response.status() == OK && response.bytes().length > 0) {
      try {
        status = JobStatus.named(Json.textOr(Json.parse(response.bytes()), "state", ""));
      } catch (MalformedMessageException e) {
        throw PlatformException.withUnknownEffect("the daemon's response cannot be parsed", e);
      }
    }
    return new Reply(response.status(), response.retryAfterSeconds(), status);
  }

  private static ObjectNode encodeJob(JobSpec job) {
    ObjectNode root = Json.object().put("spec", job.program());
    ArrayNode steps = root.putArray("steps");
    for (StepSpec step : job.steps()) {
      ObjectNode node =
          steps
              .addObject()
              .put("count", step.count())
              .put("cpu", step.need().cpuMillis())
              .put("memMb", step.need().memoryMb())
              .put("estRuntimeMs", step.estimatedRunMs());
      if (step.isLongRunning()) {
        node.put("longRunning", true).put("mayMiss", step.maxUnavailable());
      }
      if (step.maxPerWorker() > 0) {
        node.put("antiAffinity", step.maxPerWorker());
      }
      if (step.isSpeculative()) {
        node.put("speculative", true);
      }
      if (step.isCheckpointing()) {
        node.put("checkpointing", true);
      }
      if (!step.after().isEmpty()) {
        ArrayNode after = node.putArray("after");
        step.after().forEach(after::add);
      }
    }
    return root;
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    client.close();
  }
}
