package org.laburnumarch.internal.entry;

import com.codahale.metrics.MetricRegistry;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.metrics.ExpositionText;
import org.tinylog.Logger;

/**
 * Serves the entry's own endpoints below {@code /-/} and forwards all other requests to minions.
 */
final class EntryService implements StreamingHttpService {
  private static final String OPERATOR_PREFIX = "/-/operator/";

  private final RequestDispatcher dispatcher;
  private final RequestIntake intake;
  private final OperatorRequestHandler operators;
  private final MetricRegistry registry;
  private final EntryMetrics metrics;

  EntryService(
      RequestDispatcher dispatcher,
      RequestIntake intake,
      OperatorRequestHandler operators,
      MetricRegistry registry,
      EntryMetrics metrics) {
    this.dispatcher = dispatcher;
    this.intake = intake;
    this.operators = operators;
    this.registry = registry;
    this.metrics = metrics;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    Single<Reply> reply;
    try {
      reply =
          request.rawPath().startsWith("/-/")
              ? serveOwnEndpoint(request)
              : forward(context, request);
    } catch (IllegalArgumentException e) {
      reply =
          Single.succeeded(
              refused(ResultCode.REQUEST_MALFORMED, "the request target is malformed"));
    }
    return reply
        .onErrorReturn(EntryService::failureReply)
        .flatMap(finalReply -> toResponse(context, factory, finalReply))
        .map(HttpResponse::toStreamingResponse);
  }

  private Single<Reply> forward(HttpServiceContext context, StreamingHttpRequest request) {
    return intake
        .admit(request, context.executionContext().bufferAllocator())
        .fold(
            refusal -> {
              metrics.recordReply(refusal.code(), 0);
              return Single.succeeded(
                  new Reply.FromEntry(refusal.code(), EntryResponse.refused(refusal)));
            },
            caller -> {
              if (RequestIntake.isBodiless(request.headers())) {
                return submit(caller);
              }
              return RequestIntake.readBody(request, EntrySettings.MAX_BODY_BYTES)
                  .flatMap(body -> submit(caller.withBody(body)));
            });
  }

  private Single<Reply> submit(CallerRequest caller) {
    return Single.defer(
        () -> {
          EntryRequest entry = new EntryRequest(caller);
          dispatcher.submit(entry);
          return entry.reply().beforeCancel(() -> dispatcher.abandon(entry));
        });
  }

  private Single<Reply> serveOwnEndpoint(StreamingHttpRequest request) {
    String path = request.rawPath();
    if (path.startsWith(OPERATOR_PREFIX)) {
      return RequestIntake.readBody(request, EntrySettings.MAX_OPERATOR_BODY_BYTES)
          .flatMap(
              body -> {
                byte[] bytes = new byte[body.readableBytes()];
                body.readBytes(bytes);
                return Single.fromStage(serveOperator(request, bytes))
                    .map(EntryService::entryReply);
              });
    }
    return Single.succeeded(
        switch (path) {
          case "/-/healthz" -> entryReply(EntryResponse.text(200, "text/plain", "ok\n"));
          case "/-/ready" -> readyReply();
          case "/-/metrics" ->
              entryReply(
                  EntryResponse.text(
                      200, ExpositionText.CONTENT_TYPE, ExpositionText.render(registry)));
          default -> refused(ResultCode.SERVICE_UNKNOWN, "there is no endpoint " + path);
        });
  }

  private CompletionStage<EntryResponse> serveOperator(StreamingHttpRequest request, byte[] body) {
    Map<String, String> headers = new HashMap<>();
    request
        .headers()
        .forEach(
            header ->
                headers.put(
                    header.getKey().toString().toLowerCase(Locale.ROOT),
                    header.getValue().toString()));
    return operators.handle(request.method().name(), request.requestTarget(), headers, body);
  }

  private Reply readyReply() {
    return dispatcher
        .checkReady()
        .<Reply>map(refusal -> new Reply.FromEntry(refusal.code(), EntryResponse.refused(refusal)))
        .orElseGet(() -> entryReply(EntryResponse.text(200, "text/plain", "ready\n")));
  }

  private static Reply entryReply(EntryResponse response) {
    return new Reply.FromEntry(ResultCode.OK, response);
  }

  private static Reply refused(ResultCode code, String message) {
    return new Reply.FromEntry(code, EntryResponse.refused(Refusal.of(code, message)));
  }

  private static Reply failureReply(Throwable cause) {
    if (cause instanceof MessageRejectedException rejection) {
      return refused(rejection.code(), cause.getMessage());
    }
    Logger.error(cause, "entry: request failed");
    return refused(ResultCode.INTERNAL_ERROR, "the entry failed; see its log");
  }

  private static Single<HttpResponse> toResponse(
      HttpServiceContext context, StreamingHttpResponseFactory factory, Reply reply) {
    return factory
        .newResponse(reply.status())
        .toResponse()
        .map(
            response -> {
              reply.fill(response, context.executionContext().bufferAllocator());
              if (reply.code() == ResultCode.BODY_TOO_LARGE) {
                // Closes the connection instead of reading the remaining body.
                response.setHeader("connection", "close");
              }
              return response;
            });
  }
}
