package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.ResultCode;

/** Commands that list data centres and take them in and out of service. */
final class DataCentreCommands {

  private DataCentreCommands() {}

  /** Takes a data centre out of service. */
  @Parameters(commandDescription = "Take a data centre out of service; needs --yes")
  static final class Out extends RemoteCommand {

    @Parameter(description = "DATA-CENTRE")
    private List<String> names = new ArrayList<>();

    @Parameter(
        names = "--yes",
        description = "Take it out; without this, only show what would happen")
    private boolean isConfirmed;

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return singleArgument(names, "DATA-CENTRE")
          .fold(
              refusal -> session.show(ClientResponse.of(refusal), body -> {}),
              name -> isConfirmed ? takeOut(session, name) : explain(session, name));
    }

    private ResultCode takeOut(Session session, String name) {
      return session.submitChange(
          "data-centres/" + encoded(name) + "/out",
          newBody(),
          changeOptions,
          response -> session.out().println("Data centre " + name + " is out of service."));
    }

    private static ResultCode explain(Session session, String name) {
      ClientResponse response = session.get("data-centres");
      if (response.code() != ResultCode.OK) {
        return session.show(response, body -> {});
      }
      for (JsonNode known : response.body().path("dataCentres")) {
        if (known.path("dataCentre").asText().equals(name)) {
          String instances = known.path("instances").asText();
          return session.refuseUnconfirmed(
              "start no more work at the " + instances + " instances of data centre " + name);
        }
      }
      return session.refuseUnconfirmed(
          "take out data centre " + name + ", which this daemon does not know");
    }

    @Override
    public String example() {
      return "datacentre out shoranur --yes --wait" + CONNECTION_EXAMPLE;
    }
  }

  /** Returns a data centre to service. */
  @Parameters(commandDescription = "Return a data centre to service")
  static final class In extends RemoteCommand {

    @Parameter(description = "DATA-CENTRE")
    private List<String> names = new ArrayList<>();

    @ParametersDelegate private final ChangeOptions changeOptions = new ChangeOptions();

    @Override
    ResultCode run(Session session) {
      return singleArgument(names, "DATA-CENTRE")
          .fold(
              refusal -> session.show(ClientResponse.of(refusal), body -> {}),
              name ->
                  session.submitChange(
                      "data-centres/" + encoded(name) + "/in",
                      newBody(),
                      changeOptions,
                      response ->
                          session.out().println("Data centre " + name + " is back in service.")));
    }

    @Override
    public String example() {
      return "datacentre in shoranur --wait" + CONNECTION_EXAMPLE;
    }
  }

  /** Lists data centres. */
  @Parameters(commandDescription = "List data centres and whether they are in service")
  static final class Listing extends RemoteCommand {

    @Override
    ResultCode run(Session session) {
      return session.getAndShow("data-centres", response -> print(session, response));
    }

    private static void print(Session session, JsonNode response) {
      Table table = Table.of("DATA CENTRE", "STATE", "INSTANCES", "CHANGED AT OFFSET");
      for (JsonNode dataCentre : response.path("dataCentres")) {
        long changedAt = dataCentre.path("changedAtOffset").asLong();
        table.row(
            dataCentre.path("dataCentre").asText(),
            dataCentre.path("out").asBoolean() ? "out" : "in service",
            dataCentre.path("instances").asText(),
            changedAt < 0 ? "never" : Long.toString(changedAt));
      }
      table.print(session.out());
    }

    @Override
    public String example() {
      return "datacentre list" + CONNECTION_EXAMPLE;
    }
  }
}
