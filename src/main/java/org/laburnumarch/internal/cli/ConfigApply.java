package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetTextWriter;

/** Submits a configuration file as the new version. */
@Parameters(commandDescription = "Apply a configuration file at all daemons")
final class ConfigApply extends RemoteCommand {

  @Parameter(description = "FILE")
  private List<String> files = new ArrayList<>();

  @Parameter(
      names = "--base",
      description = "Version that the file is based on, if its first line does not contain it")
  private Long base;

  @Parameter(names = "--yes", description = "Apply it even if it removes sections")
  private boolean isConfirmed;

  @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

  @Override
  ResultCode run(Session session) {
    return ValidConfigFile.open(session, files, this::apply);
  }

  private ResultCode apply(ValidConfigFile file) {
    Session session = file.session();
    Optional<Long> version = Optional.ofNullable(base).or(() -> versionInFirstLine(file));
    if (version.isEmpty()) {
      String message =
          "the version that the file is based on is not known; add --base N, or start from the"
              + " output of config show, whose first line contains it";
      return session.show(ClientResponse.of(Refusal.of(ResultCode.USAGE, message)), body -> {});
    }
    ClientResponse inForce = isConfirmed ? null : session.get("config");
    if (inForce != null && inForce.code() != ResultCode.OK) {
      return session.show(inForce, body -> {});
    }
    if (inForce != null && !file.diffFrom(inForce.body()).removed().isEmpty()) {
      String removed = String.join("], [", file.diffFrom(inForce.body()).removed());
      return session.refuseUnconfirmed("remove [" + removed + "] from the configuration in force");
    }
    ObjectNode body = newBody().put("text", file.text()).put("baseVersion", version.get());
    return session.submitChange(
        "config", body, changeOptions, response -> print(session, response));
  }

  private static Optional<Long> versionInFirstLine(ValidConfigFile file) {
    return FleetTextWriter.versionOf(file.text());
  }

  private static void print(Session session, JsonNode response) {
    session.out().println("Version " + response.path("version").asLong() + " is in force.");
  }

  @Override
  public String example() {
    return "config apply fleet.ini --base 7 --wait" + CONNECTION_EXAMPLE;
  }
}
