package org.laburnumarch.internal.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.queue.TeamWeight;
import org.laburnumarch.internal.state.ControlState;

/** Reads callers' requests and makes the checks that are possible on arrival. */
final class RequestIntake {
  private final EntryEnvironment environment;

  RequestIntake(EntryEnvironment environment) {
    this.environment = environment;
  }

  /** Checks the head of a request, before its body arrives. */
  Either<Refusal, CallerRequest> admit(StreamingHttpRequest request, BufferAllocator allocator) {
    ControlState state = environment.state().get();
    String path = request.rawPath();
    int serviceEnd = path.indexOf('/', 1);
    String service =
        path.isEmpty() ? "" : path.substring(1, serviceEnd < 0 ? path.length() : serviceEnd);
    String servicePath = serviceEnd < 0 ? "/" : path.substring(serviceEnd);
    String target =
        request.rawQuery() == null ? servicePath : servicePath + "?" + request.rawQuery();
    return ServiceRoute.find(service, state)
        .flatMap(
            route -> {
              Optional<PresentedKey> key =
                  route.queue().isOpenToAll()
                      ? Optional.empty()
                      : PresentedKey.parse(request.headers().get("authorization"));
              return route
                  .admit(key, state)
                  .flatMap(
                      weight ->
                          timeoutMs(request.headers())
                              .map(
                                  timeoutMs ->
                                      toCallerRequest(
                                          request, route, weight, key, target, timeoutMs,
                                          allocator)));
            });
  }

  private CallerRequest toCallerRequest(
      StreamingHttpRequest request,
      ServiceRoute route,
      TeamWeight weight,
      Optional<PresentedKey> key,
      String target,
      long timeoutMs,
      BufferAllocator allocator) {
    long nowMs = environment.clock().nowMs();
    return new CallerRequest(
        route.service().name(),
        route.service().pool(),
        weight,
        route.queue().maxQueuedPerTeam(),
        key,
        request.method(),
        target,
        request.headers(),
        allocator.newBuffer(0),
        nowMs,
        nowMs + timeoutMs,
        environment.epochMs().getAsLong() + timeoutMs);
  }

  /** Reads a body; fails with {@link MessageRejectedException} if it is too large. */
  static Single<Buffer> readBody(StreamingHttpRequest request, int maxBytes) {
    if (contentLengthBytes(request.headers()) > maxBytes) {
      return Single.failed(tooLarge(maxBytes));
    }
    long[] readBytes = {0};
    return request
        .transformPayloadBody(
            body ->
                body.map(
                    chunk -> {
                      readBytes[0] += chunk.readableBytes();
                      if (readBytes[0] > maxBytes) {
                        throw tooLarge(maxBytes);
                      }
                      return chunk;
                    }))
        .toRequest()
        .map(whole -> whole.payloadBody());
  }

  /** Returns whether a request is known to have no body. */
  static boolean isBodiless(HttpHeaders headers) {
    return !headers.contains("transfer-encoding") && contentLengthBytes(headers) <= 0;
  }

  private static long contentLengthBytes(HttpHeaders headers) {
    CharSequence length = headers.get("content-length");
    try {
      return length == null ? 0 : Long.parseLong(length.toString().trim());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Either<Refusal, Long> timeoutMs(HttpHeaders headers) {
    CharSequence header = headers.get("request-timeout-ms");
    if (header == null) {
      return Either.right(EntrySettings.DEFAULT_REQUEST_TIMEOUT_MS);
    }
    try {
      long timeoutMs = Long.parseLong(header.toString().trim());
      if (timeoutMs >= 1 && timeoutMs <= EntrySettings.MAX_REQUEST_TIMEOUT_MS) {
        return Either.right(timeoutMs);
      }
    } catch (NumberFormatException e) {
      // Refused below, like a number out of range.
    }
    return Either.left(
        Refusal.of(
            ResultCode.DEADLINE_INVALID,
            "Request-Timeout-Ms has to be a number from 1 to "
                + EntrySettings.MAX_REQUEST_TIMEOUT_MS));
  }

  private static MessageRejectedException tooLarge(int maxBytes) {
    return new MessageRejectedException(
        ResultCode.BODY_TOO_LARGE,
        "the body is larger than " + maxBytes + " bytes; send less at once",
        null);
  }
}
