package org.laburnumarch.internal.entry;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseStatus;
import org.laburnumarch.ResultCode;

/** The final response to a request. */
sealed interface Reply {

  /** Returns the result code that the caller gets. */
  ResultCode code();

  /** Returns the HTTP status. */
  HttpResponseStatus status();

  /** Sets headers and body of an empty response of the server. */
  HttpResponse fill(HttpResponse response, BufferAllocator allocator);

  /** A response that the entry itself produced. */
  record FromEntry(ResultCode code, EntryResponse content) implements Reply {

    @Override
    public HttpResponseStatus status() {
      return HttpResponseStatus.of(content.status(), "");
    }

    @Override
    public HttpResponse fill(HttpResponse response, BufferAllocator allocator) {
      content.headers().forEach(response::setHeader);
      return response.payloadBody(allocator.wrap(content.body()));
    }
  }

  /**
   * The complete response of a minion.
   *
   * @param isBodiless whether the response has no body by definition, whatever its Content-Length
   */
  record FromMinion(HttpResponseStatus status, HttpHeaders headers, Buffer body, boolean isBodiless)
      implements Reply {

    @Override
    public ResultCode code() {
      return ResultCode.OK;
    }

    @Override
    public HttpResponse fill(HttpResponse response, BufferAllocator allocator) {
      ForwardedHeaders.copyResponse(headers, response.headers());
      response.setHeader(EntryResponse.RESULT_HEADER, OK_NUMBER);
      if (!isBodiless) {
        response.setHeader("content-length", Integer.toString(body.readableBytes()));
      }
      return response.payloadBody(body);
    }

    private static final String OK_NUMBER = Integer.toString(ResultCode.OK.number());
  }
}
