package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.ResultCode;

/** Commands that grant, revoke and list the keys of teams. */
final class KeyCommands {

  private KeyCommands() {}

  /** Grants a key. */
  @Parameters(commandDescription = "Grant a key to a team; its token is shown once")
  static final class Grant extends RemoteCommand {

    @Parameter(description = "TEAM")
    private List<String> teams = new ArrayList<>();

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return singleArgument(teams, "TEAM")
          .fold(
              refusal -> session.show(ClientResponse.of(refusal), body -> {}),
              team ->
                  session.submitChange(
                      "keys",
                      newBody().put("team", team),
                      changeOptions,
                      response -> print(session, response)));
    }

    private static void print(Session session, JsonNode response) {
      session.out().println("Key:   " + response.path("keyId").asText());
      session.out().println("Token: " + response.path("token").asText());
      session.out().println("The token is not stored and cannot be shown again.");
    }

    @Override
    public String example() {
      return "key grant pilgrims" + CONNECTION_EXAMPLE;
    }
  }

  /** Revokes a key. */
  @Parameters(commandDescription = "Revoke a key permanently; needs --yes")
  static final class Revoke extends RemoteCommand {

    @Parameter(description = "KEY")
    private List<String> keys = new ArrayList<>();

    @Parameter(
        names = "--yes",
        description = "Revoke it; without this, only show what would happen")
    private boolean isConfirmed;

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return singleArgument(keys, "KEY")
          .fold(
              refusal -> session.show(ClientResponse.of(refusal), body -> {}),
              key -> isConfirmed ? revoke(session, key) : explain(session, key));
    }

    private ResultCode revoke(Session session, String key) {
      return session.submitChange(
          "keys/" + encoded(key) + "/revoke",
          newBody(),
          changeOptions,
          response -> session.out().println("Key " + key + " is revoked."));
    }

    private static ResultCode explain(Session session, String key) {
      ClientResponse response = session.get("keys");
      if (response.code() != ResultCode.OK) {
        return session.show(response, body -> {});
      }
      for (JsonNode known : response.body().path("keys")) {
        if (known.path("keyId").asText().equals(key)) {
          String team = known.path("team").asText();
          return session.refuseUnconfirmed(
              "revoke key " + key + " of team " + team + " and refuse its requests within seconds");
        }
      }
      return session.refuseUnconfirmed("revoke key " + key + ", which this daemon does not know");
    }

    @Override
    public String example() {
      return "key revoke 0123456789abcdef --yes" + CONNECTION_EXAMPLE;
    }
  }

  /** Lists keys. */
  @Parameters(commandDescription = "List keys, without their secrets")
  static final class Listing extends RemoteCommand {

    @Parameter(names = "--team", description = "Only keys of this team")
    private String team = "";

    @Override
    ResultCode run(Session session) {
      return session.getAndShow("keys?team=" + encoded(team), response -> print(session, response));
    }

    private static void print(Session session, JsonNode response) {
      Table table = Table.of("KEY", "TEAM", "STATE", "GRANTED AT OFFSET");
      for (JsonNode key : response.path("keys")) {
        table.row(
            key.path("keyId").asText(),
            key.path("team").asText(),
            key.path("revoked").asBoolean() ? "revoked" : "valid",
            key.path("grantedAtOffset").asText());
      }
      table.print(session.out());
    }

    @Override
    public String example() {
      return "key list --team pilgrims" + CONNECTION_EXAMPLE;
    }
  }
}
