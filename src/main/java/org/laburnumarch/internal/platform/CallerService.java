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

/** Callers' HTTP interface: submits, shows and cancels jobs. */
public final class CallerService implements HttpService {

  /** What the interface needs to know of its daemon. */
  public record Environment(
      Supplier<FleetConfig> config,
      BooleanSupplier isServing,
      BooleanSupplier isStopping,
      LongSupplier epochMs,
      Meters meters) {}

  private static final byte[] NO_PAYLOAD = new byte[0];
  private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final String KEY_SCHEME = "Token ";

  /** How long a caller waits if it does not say. */
  private static final long DEFAULT_PATIENCE_MS = 3_000;

  private static final int MS_PER_S = 1_000;
  private static final int SHORTEST_RETRY_AFTER_S = 1;

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
    return answer(request, responses)
        .map(
            response -> {
              meter(request, response, arrivedEpochMs);
              return environment.isStopping().getAsBoolean()
                  ? response.setHeader("Connection", "close")
                  : response;
            });
  }

  private void meter(HttpRequest request, HttpResponse response, long arrivedEpochMs) {
    String method = request.method().name();
    environment.meters().count("caller_answers_total", method + ' ' + response.status().code());
    // The time of day may be set back in between.
    long tookMs = Math.max(0, environment.epochMs().getAsLong() - arrivedEpochMs);
    environment.meters().time("caller_answer_seconds", tookMs);
  }

  private Single<HttpResponse> answer(HttpRequest request, HttpResponseFactory responses) {
    if (!environment.isServing().getAsBoolean()) {
      return Single.succeeded(comeBack(responses.serviceUnavailable(), MS_PER_S));
    }
    FleetConfig config = environment.config().get();
    String path = request.path();
    Optional<QueueConfig> queue = config.route(host(request), path);
    if (queue.isEmpty()) {
      return refuse(responses.notFound(), path, "no queue", config);
    }
    Optional<String> team = team(request, queue.get(), config);
    if (team.isEmpty()) {
      return refuse(responses.unauthorized(), path, "no valid key", config);
    }
    String jobId = path.substring(queue.get().pathPrefix().length());
    if (!jobId.isEmpty() && !JOB_ID.matcher(jobId).matches()) {
      return refuse(responses.badRequest(), path, "job id is not 16 hexadecimal digits", config);
    }
    return dispatch(request, responses, queue.get(), team.get(), jobId);
  }

  private static Single<HttpResponse> refuse(
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

  /** Returns the caller's team; an empty name on queues open to all; nothing if not allowed. */
  private static Optional<String> team(HttpRequest request, QueueConfig queue, FleetConfig config) {
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
    long patienceMs = patienceMs(request);
    if (method.equals(HttpRequestMethod.GET)) {
      return jobId.isEmpty()
          ? call(CallKind.WAITING, queue, jobId, NO_PAYLOAD, patienceMs, responses)
          : call(CallKind.STATUS, queue, jobId, NO_PAYLOAD, patienceMs, responses);
    }
    if (method.equals(HttpRequestMethod.DELETE) && !jobId.isEmpty()) {
      return call(CallKind.CANCEL, queue, jobId, NO_PAYLOAD, patienceMs, responses);
    }
    if (!method.equals(HttpRequestMethod.POST) || jobId.isEmpty()) {
      return Single.succeeded(responses.newResponse(HttpResponseStatus.METHOD_NOT_ALLOWED));
    }
    byte[] body = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(body);
    try {
      JobSpec job =
          SubmittedJobs.decode(jobId, queue.name(), team, body, environment.epochMs().getAsLong());
      return call(CallKind.SUBMIT, queue, jobId, JobCodec.encode(job), patienceMs, responses);
    } catch (MalformedMessageException e) {
      Logger.info("callers: event=refused status=400 job={} cause=\"{}\"", jobId, e.getMessage());
      return Single.succeeded(
          responses.badRequest().payloadBody(DEFAULT_RO_ALLOCATOR.fromUtf8(e.getMessage())));
    }
  }

  private static long patienceMs(HttpRequest request) {
    CharSequence header = request.headers().get("X-Deadline-Ms");
    if (header == null) {
      return DEFAULT_PATIENCE_MS;
    }
    try {
      return Long.parseLong(header.toString().trim());
    } catch (NumberFormatException e) {
      Logger.debug("callers: event=odd-deadline value={}", header);
      return DEFAULT_PATIENCE_MS;
    }
  }

  private Single<HttpResponse> call(
      CallKind kind,
      QueueConfig queue,
      String jobId,
      byte[] payload,
      long patienceMs,
      HttpResponseFactory responses) {
    return Single.fromStage(jobs.call(kind, queue.name(), jobId, payload, patienceMs))
        .map(reply -> response(kind, jobId, reply, responses));
  }

  private static HttpResponse response(
      CallKind kind, String jobId, JobReply reply, HttpResponseFactory responses) {
    if (reply.code() != Code.OK) {
      Logger.info("callers: event={} job={} outcome={}", kind, jobId, reply.code());
    }
    return switch (reply.code()) {
      case OK -> ok(kind, reply, responses);
      case UNKNOWN_JOB -> responses.newResponse(HttpResponseStatus.GONE);
      case OVERLOADED -> comeBack(responses.tooManyRequests(), reply.retryAfterMs());
      case UNAVAILABLE -> comeBack(responses.serviceUnavailable(), reply.retryAfterMs());
      case UNDECIDED ->
          kind == CallKind.SUBMIT || kind == CallKind.CANCEL
              ? responses.gatewayTimeout()
              : comeBack(responses.serviceUnavailable(), reply.retryAfterMs());
    };
  }

  private static HttpResponse ok(CallKind kind, JobReply reply, HttpResponseFactory responses) {
    return switch (kind) {
      case SUBMIT, CANCEL -> responses.ok();
      case STATUS -> json(responses, Json.bytes(Json.object().put("state", reply.status())));
      case WAITING -> json(responses, Json.bytes(Json.object().put("pending", reply.count())));
    };
  }

  private static HttpResponse json(HttpResponseFactory responses, byte[] body) {
    return responses
        .ok()
        .setHeader("Content-Type", "application/json")
        .payloadBody(DEFAULT_RO_ALLOCATOR.wrap(body));
  }

  private static HttpResponse comeBack(HttpResponse response, long afterMs) {
    long seconds = Math.max(SHORTEST_RETRY_AFTER_S, (afterMs + MS_PER_S - 1) / MS_PER_S);
    return response.setHeader("Retry-After", Long.toString(seconds));
  }
}
