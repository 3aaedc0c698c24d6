package org.laburnumarch.internal.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.laburnumarch.ResultCode;

/** Reads a minion's whole response and checks that it is complete. */
final class ResponseCollector {
  private static final long NO_LENGTH = -1;

  private ResponseCollector() {}

  /**
   * Returns the whole response; fails with {@link MessageRejectedException} if it is not complete.
   */
  static Single<Reply.FromMinion> collect(StreamingHttpResponse head, boolean isHeadRequest) {
    boolean isBodiless = isHeadRequest || isBodiless(head.status());
    long lengthBytes;
    try {
      lengthBytes = isBodiless ? 0 : contentLengthBytes(head.headers());
    } catch (MessageRejectedException e) {
      // The body is never read, so the connection is closed and not used again.
      return Single.failed(e);
    }
    BodySizeLimit sizeLimit = new BodySizeLimit();
    return head.transformPayloadBody(body -> body.map(sizeLimit::add))
        .toResponse()
        .onErrorMap(ResponseCollector::toRejection)
        .map(
            whole -> {
              checkLength(lengthBytes, sizeLimit.sizeBytes(), isBodiless);
              Buffer body = whole.payloadBody();
              return new Reply.FromMinion(whole.status(), whole.headers(), body, isBodiless);
            });
  }

  private static Throwable toRejection(Throwable cause) {
    if (cause instanceof MessageRejectedException) {
      return cause;
    }
    return new MessageRejectedException(
        ResultCode.ANSWER_INCOMPLETE, "the minion's response ended before it was complete", cause);
  }

  private static void checkLength(long expectedBytes, long readBytes, boolean isBodiless) {
    if (!isBodiless && expectedBytes != NO_LENGTH && expectedBytes != readBytes) {
      throw new MessageRejectedException(
          ResultCode.ANSWER_INCOMPLETE,
          "the minion's response has " + readBytes + " of " + expectedBytes + " bytes",
          null);
    }
  }

  /**
   * Returns the Content-Length, or {@link #NO_LENGTH} for a chunked response, which marks its end.
   */
  private static long contentLengthBytes(HttpHeaders headers) {
    CharSequence length = headers.get("content-length");
    if (length == null) {
      if (headers.containsIgnoreCase("transfer-encoding", "chunked")) {
        return NO_LENGTH;
      }
      throw new MessageRejectedException(
          ResultCode.ANSWER_INCOMPLETE,
          "the minion's response has no length, so its end cannot be told from a lost connection",
          null);
    }
    long bytes = parseLength(length);
    if (bytes > EntrySettings.MAX_BODY_BYTES) {
      throw tooLarge();
    }
    return bytes;
  }

  private static long parseLength(CharSequence length) {
    try {
      return Long.parseLong(length.toString().trim());
    } catch (NumberFormatException e) {
      throw new MessageRejectedException(
          ResultCode.ANSWER_INCOMPLETE,
          "the minion's response has the invalid Content-Length " + length,
          e);
    }
  }

  private static boolean isBodiless(HttpResponseStatus status) {
    return status.code() == 204 || status.code() == 304;
  }

  private static MessageRejectedException tooLarge() {
    return new MessageRejectedException(
        ResultCode.ANSWER_TOO_LARGE,
        "the minion's response is larger than " + EntrySettings.MAX_BODY_BYTES + " bytes",
        null);
  }

  /** Counts the bytes of a body while they arrive and fails above the limit. */
  private static final class BodySizeLimit {
    private long sizeBytes;

    Buffer add(Buffer chunk) {
      sizeBytes += chunk.readableBytes();
      if (sizeBytes > EntrySettings.MAX_BODY_BYTES) {
        throw tooLarge();
      }
      return chunk;
    }

    long sizeBytes() {
      return sizeBytes;
    }
  }
}
