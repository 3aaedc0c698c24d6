package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Seq;
import java.io.PrintStream;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextFault;

/** Formats refusals and the faults of configuration texts, as text or as JSON. */
final class Faults {

  private Faults() {}

  /** Prints a refusal with its code, after the faults that the response lists. */
  static void print(PrintStream err, ClientResponse response) {
    for (JsonNode fault : response.body().path("faults")) {
      err.println(toFault(fault).describe());
    }
    err.println(response.code().number() + " " + response.code() + ": " + response.message());
  }

  /** Prints the faults of a file and their number. */
  static void print(PrintStream err, String file, Seq<TextFault> faults) {
    faults.forEach(fault -> err.println(file + ": " + fault.describe()));
    err.println(file + ": " + faults.size() + (faults.size() == 1 ? " fault." : " faults."));
  }

  /** Returns the refusal of a text with its faults, in the JSON format of a daemon's response. */
  static ClientResponse toResponse(Seq<TextFault> faults) {
    String message = "the text has " + faults.size() + (faults.size() == 1 ? " fault" : " faults");
    ClientResponse response =
        ClientResponse.of(Refusal.of(faults.head().code(), message + "; fix all of them"));
    ArrayNode list = ((ObjectNode) response.body()).putArray("faults");
    for (TextFault fault : faults) {
      list.addObject()
          .put("line", fault.line())
          .put("result", fault.code().number())
          .put("name", fault.code().name())
          .put("section", fault.section())
          .put("key", fault.key())
          .put("problem", fault.problem())
          .put("mend", fault.remedy());
    }
    return response;
  }

  private static TextFault toFault(JsonNode fault) {
    return new TextFault(
        fault.path("line").asInt(),
        fault.path("section").asText(),
        fault.path("key").asText(),
        codeOf(fault.path("name").asText()),
        fault.path("problem").asText(),
        fault.path("mend").asText());
  }

  private static ResultCode codeOf(String name) {
    for (ResultCode code : ResultCode.values()) {
      if (code.name().equals(name)) {
        return code;
      }
    }
    return ResultCode.TEXT_MALFORMED;
  }
}
