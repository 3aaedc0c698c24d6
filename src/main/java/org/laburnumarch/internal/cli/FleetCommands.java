package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.laburnumarch.ResultCode;

/** Commands that show the state of the daemons and the audit trail. */
final class FleetCommands {

  private FleetCommands() {}

  /** Shows the log position of each daemon. */
  @Parameters(commandDescription = "Show the daemons and how far each has applied the log")
  static final class Status extends RemoteCommand {

    @Override
    ResultCode run(Session session) {
      return session.getAndShow("status", response -> print(session, response));
    }

    private static void print(Session session, JsonNode response) {
      session
          .out()
          .println(
              "Version "
                  + response.path("version").asText()
                  + ", next offset "
                  + response.path("nextOffset").asText()
                  + ", as seen by "
                  + response.path("answeringMemberId").asText()
                  + (response.path("ready").asBoolean() ? " (ready)." : " (not ready)."));
      Table table =
          Table.of(
              "INSTANCE", "DATA CENTRE", "MEMBER", "NEXT OFFSET", "FRESH MS", "COUNTING", "ALIVE");
      for (JsonNode member : response.path("members")) {
        long freshnessAgeMs = member.path("freshAgeMs").asLong();
        table.row(
            member.path("instance").asText(),
            member.path("dataCentre").asText(),
            member.path("memberId").asText(),
            member.path("nextOffset").asText(),
            freshnessAgeMs < 0 ? "unknown" : Long.toString(freshnessAgeMs),
            member.path("counting").asBoolean() ? "yes" : "no",
            member.path("alive").asBoolean() ? "yes" : "no");
      }
      table.print(session.out());
    }

    @Override
    public String example() {
      return "status" + CONNECTION_EXAMPLE;
    }
  }

  /** Shows the audit trail. */
  @Parameters(commandDescription = "Show the audit trail")
  static final class Audit extends RemoteCommand {

    @ParametersDelegate private final AuditFilter filter = new AuditFilter();

    @Override
    ResultCode run(Session session) {
      return session.getAndShow(
          "audit?" + filter.query(), response -> AuditFilter.print(session.out(), response));
    }

    @Override
    public String example() {
      return "audit --author anna --since 2026-12-04T00:00:00Z" + CONNECTION_EXAMPLE;
    }
  }
}
