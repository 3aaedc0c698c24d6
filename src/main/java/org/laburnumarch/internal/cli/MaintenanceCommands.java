package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.laburnumarch.ResultCode;

/** Commands that start and pause maintenance waves and show their progress. */
final class MaintenanceCommands {

  private MaintenanceCommands() {}

  /** Allows waves to start. */
  @Parameters(commandDescription = "Allow maintenance waves to start")
  static final class Start extends RemoteCommand {

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return session.submitChange(
          "maintenance/start",
          newBody(),
          changeOptions,
          response -> session.out().println("Maintenance waves may start."));
    }

    @Override
    public String example() {
      return "maintenance start" + CONNECTION_EXAMPLE;
    }
  }

  /** Prevents waves from starting. */
  @Parameters(
      commandDescription = "Start no more maintenance; maintenance in progress is completed")
  static final class Pause extends RemoteCommand {

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return session.submitChange(
          "maintenance/pause",
          newBody(),
          changeOptions,
          response -> session.out().println("No more maintenance is started."));
    }

    @Override
    public String example() {
      return "maintenance pause --wait" + CONNECTION_EXAMPLE;
    }
  }

  /** Shows the progress of waves. */
  @Parameters(commandDescription = "Show whether waves may start and the progress of each pool")
  static final class Status extends RemoteCommand {

    @Override
    ResultCode run(Session session) {
      return session.getAndShow("maintenance", response -> print(session, response));
    }

    private static void print(Session session, JsonNode response) {
      session
          .out()
          .println(
              (response.path("enabled").asBoolean() ? "Waves may start" : "Waves are paused")
                  + "; each instance is due every "
                  + response.path("intervalDays").asText()
                  + " days.");
      Table table = Table.of("POOL", "INSTANCES", "IN MAINTENANCE", "FAILED", "DUE");
      for (JsonNode pool : response.path("pools")) {
        table.row(
            pool.path("pool").asText(),
            pool.path("instances").asText(),
            pool.path("inMaintenance").asText(),
            pool.path("failed").asText(),
            pool.path("due").asText());
      }
      table.print(session.out());
    }

    @Override
    public String example() {
      return "maintenance status" + CONNECTION_EXAMPLE;
    }
  }
}
