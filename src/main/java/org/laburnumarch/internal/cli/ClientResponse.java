package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Response of a daemon, or a result that the client creates if it has none.
 *
 * @param body the complete JSON object, including result and message
 */
record ClientResponse(ResultCode code, String message, JsonNode body) {

  /** Returns a response that the client creates from a refusal of its own. */
  static ClientResponse of(Refusal refusal) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("result", refusal.code().number());
    body.put("name", refusal.code().name());
    body.put("message", refusal.message());
    return new ClientResponse(refusal.code(), refusal.message(), body);
  }

  boolean isDone() {
    return code.outcome() == Outcome.DONE;
  }
}
