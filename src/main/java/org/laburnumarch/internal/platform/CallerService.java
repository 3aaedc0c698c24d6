package org.laburnumarch.internal.platform;

import static io.servicetalk.buffer.api.ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobCodec;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.JobService;
import org.laburnumarch.internal.link.LinkMessage.CallKind;
import org.laburnumarch.internal.metrics.Meters;
import org.tinylog.Logger;

/** The HTTP interface for callers: submits jobs, returns their status and cancels them. */
public final class CallerService implements HttpService {

  /** State and services of the daemon that the interface uses. */
  public record Environment(
      Supplier<FleetConfig> config,
      BooleanSupplier isServing,
      BooleanSupplier isStopping,
      LongSupplier epochMs,
      int maxRecordBytes,
      Meters meters) {}

  private static final byte[] NO_PAYLOAD = new byte[0];

  /** Part of the largest record of the store that is reserved for the job's key. */
  private static final int KEY_RESERVE_BYTES = 64;

  private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final String KEY_SCHEME = "Token ";

  /** How long a caller waits if its request has no valid {@code X-Deadline-Ms} header. */
  private static final long DEFAULT_TIMEOUT_MS = 3_000;

  private static final int MS_PER_S = 1_000;
  private static final int MIN_RETRY_AFTER_S = 1;

  private final Environment environment;
  private final JobService jobs;

  /** Creates the interface. */
  public CallerService(Environment environment, JobService jobs) {
    this.environment = environment;
    this.jobs = jobs;
  }

  @Override
  public Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    long arrivedEpochMs = environment.epochMs().getAsLong();
    return route(request, responses)
        .map(
            response -> {
              recordMetrics(request, response, arrivedEpochMs);
              return environment.isStopping().getAsBoolean()
                  ? response.setHeader("Connection", "close")
                  : response;
            });
  }

  private void recordMetrics(HttpRequest request, HttpResponse response, long arrivedEpochMs) {
    String method = request.method().name();
    environment.meters().count("caller_answers_total", method + ' ' + response.status().code());
    // The system clock may be set back while the request is processed.
    long durationMs = Math.max(0, environment.epochMs().getAsLong() - arrivedEpochMs);
    environment.meters().recordDuration("caller_answer_seconds", durationMs);
  }

  private Single<HttpResponse> route(HttpRequest request, HttpResponseFactory responses) {
    if (!environment.isServing().getAsBoolean()) {
      return Single.succeeded(withRetryAfter(responses.serviceUnavailable(), MS_PER_S));
    }
    FleetConfig config = environment.config().get();
    String path = request.path();
    Optional<QueueConfig> queue = config.route(host(request), path);
    if (queue.isEmpty()) {
      return refused(responses.notFound(), path, "no queue for this host and path", config);
    }
    Optional<String> team = authenticatedTeam(request, queue.get(), config);
    if (team.isEmpty()) {
      return refused(responses.unauthorized(), path, "no valid key", config);
    }
    String jobId = path.substring(queue.get().pathPrefix().length());
    if (!jobId.isEmpty() && !JOB_ID.matcher(jobId).matches()) {
      return refused(responses.badRequest(), path, "job id is not 16 hexadecimal digits", config);
    }
    return dispatch(request, responses, queue.get(), team.get(), jobId);
  }

  private static Single<HttpResponse> refused(
      HttpResponse response, String path, String cause, FleetConfig config) {
    Logger.info(
        "callers: event=refused status={} path={} cause=\"{}\" configVersion={}",
        response.status().code(),
        path,
        cause,
        config.version());
    return Single.succeeded(response);
  }

  private static String host(HttpRequest request) {
    CharSequence header = request.headers().get("Host");
    if (header == null) {
      return "";
    }
    String host = header.toString();
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /**
   * Returns the name of the caller's team, which is the empty string if the queue is public and the
   * key is missing or unknown. Returns no value if the caller may not use the queue.
   */
  private static Optional<String> authenticatedTeam(
      HttpRequest request, QueueConfig queue, FleetConfig config) {
    CharSequence header = request.headers().get("Authorization");
    Optional<String> team =
        header != null && header.toString().startsWith(KEY_SCHEME)
            ? config.teamOfKey(header.toString().substring(KEY_SCHEME.length()).trim())
            : Optional.empty();
    return team.isEmpty() && queue.isPublic() ? Optional.of("") : team;
  }

  private Single<HttpResponse> dispatch(
      HttpRequest request,
      HttpResponseFactory responses,
      QueueConfig queue,
      String team,
      String jobId) {
    HttpRequestMethod method = request.method();
    long timeoutMs = timeoutMs(request);
    if (method.equals(HttpRequestMethod.GET)) {
      return jobId.isEmpty()
          ? call(CallKind.WAITING, queue, jobId, NO_PAYLOAD, timeoutMs, responses)
          : call(CallKind.STATUS, queue, jobId, NO_PAYLOAD, timeoutMs, responses);
    }
    if (method.equals(HttpRequestMethod.DELETE) && !jobId.isEmpty()) {
      return call(CallKind.CANCEL, queue, jobId, NO_PAYLOAD, timeoutMs, responses);
    }
    if (!method.equals(HttpRequestMethod.POST) || jobId.isEmpty()) {
      return Single.succeeded(responses.newResponse(HttpResponseStatus.METHOD_NOT_ALLOWED));
    }
    byte[] body = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(body);
    try {
      JobSpec job =
          SubmittedJobs.decode(jobId, queue.name(), team, body, environment.epochMs().getAsLong());
      byte[] encoded = JobCodec.encode(job);
      int maxBytes = environment.maxRecordBytes() - KEY_RESERVE_BYTES;
      if (encoded.length > maxBytes) {
        throw new MalformedMessageException(
            "the job takes " + encoded.length + " bytes of at most " + maxBytes);
      }
      return call(CallKind.SUBMIT, queue, jobId, encoded, timeoutMs, responses);
    } catch (MalformedMessageException e) {
      Logger.info("callers: event=refused status=400 job={} cause=\"{}\"", jobId, e.getMessage());
      return Single.succeeded(
          responses.badRequest().payloadBody(DEFAULT_RO_ALLOCATOR.fromUtf8(e.getMessage())));
    }
  }

  private static long timeoutMs(HttpRequest request) {
    CharSequence header = request.headers().get("X-Deadline-Ms");
    if (header == null) {
      return DEFAULT_TIMEOUT_MS;
    }
    try {
      return Long.parseLong(header.toString().trim());
    } catch (NumberFormatException e) {
      Logger.debug("callers: event=odd-deadline value={}", header);
      return DEFAULT_TIMEOUT_MS;
    }
  }

  private Single<HttpResponse> call(
      CallKind kind,
      QueueConfig queue,
      String jobId,
      byte[] payload,
      long timeoutMs,
      HttpResponseFactory responses) {
    return Single.fromStage(jobs.call(kind, queue.name(), jobId, payload, timeoutMs))
        .map(reply -> toResponse(kind, jobId, reply, responses));
  }

  private static HttpResponse toResponse(
      CallKind kind, String jobId, JobReply reply, HttpResponseFactory responses) {
    if (reply.code() != Code.OK) {
      Logger.info("callers: event={} job={} outcome={}", kind, jobId, reply.code());
    }
    return switch (reply.code()) {
      case OK -> success(kind, reply, responses);
      case UNKNOWN_JOB -> responses.newResponse(HttpResponseStatus.GONE);
      case OVERLOADED -> withRetryAfter(responses.tooManyRequests(), reply.retryAfterMs());
      case UNAVAILABLE -> withRetryAfter(responses.serviceUnavailable(), reply.retryAfterMs());
      case UNDECIDED ->
          kind == CallKind.SUBMIT || kind == CallKind.CANCEL
              ? responses.gatewayTimeout()
              : withRetryAfter(responses.serviceUnavailable(), reply.retryAfterMs());
    };
  }

  private static HttpResponse success(
      CallKind kind, JobReply reply, HttpResponseFactory responses) {
    return switch (kind) {
      case SUBMIT, CANCEL -> responses.ok();
      case STATUS -> json(responses, Json.encode(Json.object().put("state", reply.status())));
      case WAITING -> json(responses, Json.encode(Json.object().put("pending", reply.count())));
    };
  }

  private static HttpResponse json(HttpResponseFactory responses, byte[] body) {
    return responses
        .ok()
        .setHeader("Content-Type", "application/json")
        .payloadBody(DEFAULT_RO_ALLOCATOR.wrap(body));
  }

  private static HttpResponse withRetryAfter(HttpResponse response, long afterMs) {
    long seconds = Math.max(MIN_RETRY_AFTER_S, (afterMs + MS_PER_S - 1) / MS_PER_S);
    return response.setHeader("Retry-After", Long.toString(seconds));
  }
}
