package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Options that select entries of the audit trail, and the table that shows these. */
final class AuditFilter {

  @Parameter(names = "--author", description = "Only changes by this operator or member")
  private String author = "";

  @Parameter(names = "--since", description = "Only changes at or after this time (UTC)")
  private String since = "";

  @Parameter(
      names = "--limit",
      description = "Maximum number of entries to show, newest last; up to 1000")
  private int limit = 100;

  String query() {
    return "author="
        + RemoteCommand.encoded(author)
        + "&since="
        + RemoteCommand.encoded(since)
        + "&limit="
        + limit;
  }

  static void print(PrintStream out, JsonNode response) {
    Table table = Table.of("OFFSET", "AT", "AUTHOR", "KIND", "SUBJECT", "BASE", "RESULT");
    for (JsonNode entry : response.path("entries")) {
      table.row(
          entry.path("offset").asText(),
          entry.path("appendedAt").asText(),
          entry.path("author").asText(),
          entry.path("kind").asText(),
          entry.path("subject").asText(),
          entry.path("baseVersion").asText(),
          entry.path("result").asText() + " " + entry.path("name").asText());
    }
    table.print(out);
  }
}
