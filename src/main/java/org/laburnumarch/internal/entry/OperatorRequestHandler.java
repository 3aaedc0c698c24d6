package org.laburnumarch.internal.entry;

import java.util.Map;
import java.util.concurrent.CompletionStage;

/** Handles operators' requests below {@code /-/operator/}. */
@FunctionalInterface
public interface OperatorRequestHandler {

  /**
   * Handles one request; called on an event loop, so it must not block.
   *
   * @param method HTTP method
   * @param path path with query as sent by the operator, {@code /-/operator/...}
   * @param headers headers by lower-case name; of repeated headers, only the last
   * @param body complete body, at most {@link EntrySettings#MAX_OPERATOR_BODY_BYTES}
   */
  CompletionStage<EntryResponse> handle(
      String method, String path, Map<String, String> headers, byte[] body);
}
