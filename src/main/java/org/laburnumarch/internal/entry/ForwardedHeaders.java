package org.laburnumarch.internal.entry;

import io.servicetalk.http.api.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Copies the headers of a request or response, without those of a single connection (hop-by-hop).
 */
final class ForwardedHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          // Bodies are read whole before they are sent on, so "100 Continue" is never awaited.
          "expect");

  /** Request headers that the entry sets itself or that carry a caller's secret. */
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "host",
          "content-length",
          "authorization",
          "request-timeout-ms",
          "request-deadline-epoch-ms");

  private ForwardedHeaders() {}

  static void copyRequest(HttpHeaders from, HttpHeaders to) {
    copy(from, to, NOT_FORWARDED);
  }

  /** Copies a minion's response headers without the result code, which only the entry sets. */
  static void copyResponse(HttpHeaders from, HttpHeaders to) {
    copy(from, to, Set.of("laburnumarch-result"));
  }

  private static void copy(HttpHeaders from, HttpHeaders to, Set<String> excluded) {
    Set<String> connectionOptions = connectionOptions(from);
    for (Map.Entry<CharSequence, CharSequence> header : from) {
      String name = header.getKey().toString().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && !connectionOptions.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  /** Returns the lower-case header names that the Connection header lists as hop-by-hop. */
  private static Set<String> connectionOptions(HttpHeaders headers) {
    if (headers.get("connection") == null) {
      return Set.of();
    }
    Set<String> names = new HashSet<>();
    for (CharSequence value : headers.values("connection")) {
      for (String name : value.toString().split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
