package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;
import io.servicetalk.transport.api.RetryableException;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Sends each request to the first daemon that accepts a connection. */
final class OperatorClient {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final int MAX_CAUSE_DEPTH = 10;

  private final List<InetSocketAddress> entries;
  private final String token;
  private final int timeoutMs;

  OperatorClient(List<InetSocketAddress> entries, String token, int timeoutMs) {
    this.entries = List.copyOf(entries);
    this.token = token;
    this.timeoutMs = timeoutMs;
  }

  ClientResponse get(String path) {
    return send(HttpRequestMethod.GET, path, "");
  }

  ClientResponse post(String path, JsonNode body) {
    return send(HttpRequestMethod.POST, path, body.toString());
  }

  /**
   * Sends a request. Tries the next daemon only if nothing was sent to the previous one, since a
   * change that was sent may take effect although no response arrives.
   */
  private ClientResponse send(HttpRequestMethod method, String path, String body) {
    for (InetSocketAddress entry : entries) {
      try {
        return sendTo(entry, method, path, body);
      } catch (Exception e) {
        if (!isNothingSent(e)) {
          return noResponse(entry, method, e);
        }
      }
    }
    return ClientResponse.of(
        Refusal.of(
            ResultCode.ENTRY_UNREACHABLE,
            "no connection to any of " + entries + ", so nothing was sent; check --entry"));
  }

  private ClientResponse sendTo(
      InetSocketAddress entry, HttpRequestMethod method, String path, String body)
      throws Exception {
    BlockingHttpClient client = clientOf(entry);
    try {
      HttpRequest request =
          client
              .newRequest(method, "/-/operator/" + path)
              .addHeader("Authorization", "Bearer " + token)
              .addHeader("Content-Type", "application/json");
      request.payloadBody(client.executionContext().bufferAllocator().fromUtf8(body));
      return responseOf(client.request(request));
    } finally {
      // A failure to close must not turn a received response into an unknown outcome.
      client.asClient().closeAsync().subscribe();
    }
  }

  private BlockingHttpClient clientOf(InetSocketAddress entry) {
    return HttpClients.forResolvedAddress(entry)
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .appendClientFilter(new TimeoutHttpRequesterFilter(Duration.ofMillis(timeoutMs), true))
        .buildBlocking();
  }

  private static ClientResponse responseOf(HttpResponse response) {
    Buffer payload = response.payloadBody();
    try {
      JsonNode body = JSON.readTree(payload.toString(StandardCharsets.UTF_8));
      int number = body.path("result").asInt();
      return Arrays.stream(ResultCode.values())
          .filter(code -> code.number() == number)
          .findFirst()
          .map(code -> new ClientResponse(code, body.path("message").asText(), body))
          .orElseGet(() -> malformedResponse(response));
    } catch (IOException e) {
      return malformedResponse(response);
    }
  }

  private static ClientResponse malformedResponse(HttpResponse response) {
    return ClientResponse.of(
        Refusal.of(
            ResultCode.ANSWER_INCOMPLETE,
            "the response with HTTP status "
                + response.status().code()
                + " is not from a daemon of this version; check --entry and the versions"));
  }

  private static ClientResponse noResponse(
      InetSocketAddress entry, HttpRequestMethod method, Exception failure) {
    boolean isRead = method.equals(HttpRequestMethod.GET);
    return ClientResponse.of(
        Refusal.of(
            isRead ? ResultCode.ENTRY_UNREACHABLE : ResultCode.APPEND_OUTCOME_UNKNOWN,
            entry
                + " did not respond ("
                + failure.getClass().getSimpleName()
                + (isRead ? "); repeat the command" : "); the change may or may not be in force")));
  }

  private static boolean isNothingSent(Throwable failure) {
    Throwable cause = failure;
    for (int i = 0; i < MAX_CAUSE_DEPTH && cause != null; i++) {
      if (cause instanceof ConnectException || cause instanceof RetryableException) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
