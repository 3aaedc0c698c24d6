package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Seq;
import java.io.PrintStream;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextFault;

/** Prints refusals and the faults of texts for people. */
final class Faults {

  private Faults() {}

  /** Prints a refusal with its code and the faults that the daemon listed. */
  static void print(PrintStream err, ClientAnswer answer) {
    for (JsonNode fault : answer.body().path("faults")) {
      err.println(toFault(fault).describe());
    }
    err.println(answer.code().number() + " " + answer.code() + ": " + answer.message());
  }

  /** Prints the faults of a text, and how many there are. */
  static void print(PrintStream err, String file, Seq<TextFault> faults) {
    faults.forEach(fault -> err.println(file + ": " + fault.describe()));
    err.println(file + ": " + faults.size() + (faults.size() == 1 ? " fault." : " faults."));
  }

  /** Returns the refusal of a text with its faults, in the form that a daemon gives them. */
  static ClientAnswer toAnswer(Seq<TextFault> faults) {
    String message = "the text has " + faults.size() + (faults.size() == 1 ? " fault" : " faults");
    ClientAnswer answer =
        ClientAnswer.of(Refusal.of(faults.head().code(), message + "; mend all of them"));
    ArrayNode list = ((ObjectNode) answer.body()).putArray("faults");
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
    return answer;
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
