package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.ResultCode;

/** Commands that read or check the fleet configuration. */
final class ConfigCommands {

  private ConfigCommands() {}

  /** Checks a file without contacting a daemon. */
  @Parameters(
      commandDescription = "Check a configuration file and list all faults; contacts no daemon")
  static final class Check implements Command {

    @Parameter(description = "FILE")
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--json", description = "Print one JSON object instead of text")
    private boolean isJson;

    @Override
    public ResultCode run(CommandContext context) {
      return RemoteCommand.singleArgument(files, "FILE")
          .flatMap(ConfigFile::read)
          .fold(
              refusal -> RemoteCommand.refuse(context, refusal),
              text -> ValidConfigFile.check(context, files.get(0), text, isJson));
    }

    @Override
    public String example() {
      return "config check examples/hinokuni.ini";
    }
  }

  /** Shows the changes that a file would make. */
  @Parameters(commandDescription = "Show what a file would change in the configuration in force")
  static final class Diff extends RemoteCommand {

    @Parameter(description = "FILE")
    private List<String> files = new ArrayList<>();

    @Override
    ResultCode run(Session session) {
      return ValidConfigFile.open(session, files, this::show);
    }

    private ResultCode show(ValidConfigFile file) {
      Session session = file.session();
      ClientResponse response =
          session.isJson()
              ? session.postQuery("config/check", newBody().put("text", file.text()))
              : session.get("config");
      return session.show(response, inForce -> print(file, inForce));
    }

    private static void print(ValidConfigFile file, JsonNode inForce) {
      ConfigDiff diff = file.diffFrom(inForce);
      if (diff.isEmpty()) {
        file.session().out().println("The file is the same as the configuration in force.");
      }
      diff.print(file.session().out());
    }

    @Override
    public String example() {
      return "config diff fleet.ini" + CONNECTION_EXAMPLE;
    }
  }

  /** Prints the configuration in force. */
  @Parameters(
      commandDescription = "Print the configuration in force; its first line contains the version")
  static final class Show extends RemoteCommand {

    @Override
    ResultCode run(Session session) {
      return session.getAndShow("config", body -> session.out().print(body.path("text").asText()));
    }

    @Override
    public String example() {
      return "config show" + CONNECTION_EXAMPLE + " > fleet.ini";
    }
  }

  /** Lists the accepted changes of the configuration. */
  @Parameters(commandDescription = "List the accepted changes of the configuration")
  static final class History extends RemoteCommand {

    @ParametersDelegate private final AuditFilter filter = new AuditFilter();

    @Override
    ResultCode run(Session session) {
      return session.getAndShow(
          "config/history?" + filter.query(), body -> AuditFilter.print(session.out(), body));
    }

    @Override
    public String example() {
      return "config history --author anna" + CONNECTION_EXAMPLE;
    }
  }
}
