package org.laburnumarch.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.operator.FakeOperatorBackend;

/** Step definitions of the features of the operators' command line. */
public final class OperatorSteps {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private String text = "";
  private String key = "";
  private int exitStatus = -1;
  private TestOperatorEndpoint endpoint;

  @Given("the example configuration of {string}")
  public void takeExample(String firm) throws IOException {
    text = Files.readString(Path.of("examples", firm + ".ini"));
  }

  @Given("the line {string} is replaced by {string}")
  public void replaceLine(String from, String to) {
    assertThat(text).contains(from + "\n");
    text = text.replace(from + "\n", to + "\n");
  }

  @Given("a daemon with the configuration of {string}")
  public void startDaemon(String firm) throws Exception {
    takeExample(firm);
    endpoint = new TestOperatorEndpoint(new FakeOperatorBackend(text));
  }

  @Given("the operator has granted a key to {string}")
  public void grantKey(String team) throws IOException {
    runAsOperator("key grant " + team);
    key = outputText().replaceAll("(?s).*Key: +(\\S+).*", "$1");
  }

  @When("the operator runs {string}")
  public void runAsOperator(String command) throws IOException {
    run(command, TestOperatorEndpoint.TOKEN);
  }

  @When("somebody with an unknown token runs {string}")
  public void runWithUnknownToken(String command) throws IOException {
    run(command, "guessed");
  }

  private void run(String command, String token) throws IOException {
    Path file = Files.writeString(Files.createTempFile("fleet", ".ini"), text);
    Path tokenFile = Files.writeString(Files.createTempFile("token", ""), token);
    try {
      String commandLine = command.replace("FILE", file.toString()).replace("KEY", key);
      List<String> args = new ArrayList<>(List.of(commandLine.split(" ")));
      if (endpoint != null) {
        args.addAll(List.of("--entry", endpoint.address(), "--token-file", tokenFile.toString()));
      }
      output.reset();
      PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
      CommandLine line = new CommandLine(Subcommands.operatorCommands(new VirtualClock()));
      exitStatus = line.run(args.toArray(String[]::new), stream, stream);
    } finally {
      Files.delete(file);
      Files.delete(tokenFile);
    }
  }

  @Then("the exit status is {int}")
  public void checkExitStatus(int expected) {
    assertThat(exitStatus).as(outputText()).isEqualTo(expected);
  }

  @Then("the output contains {string}")
  public void checkOutput(String expected) {
    assertThat(outputText()).contains(expected);
  }

  @Then("the output does not contain {string}")
  public void checkOutputLacks(String unexpected) {
    assertThat(outputText()).doesNotContain(unexpected);
  }

  @Then("the output reports code {int}")
  public void checkCode(int code) {
    assertThat(outputText()).contains(": " + code + " ");
  }

  @Then("the output reports code {int} at the line of {string}")
  public void checkCodeAtLine(int code, String line) {
    int number = text.lines().toList().indexOf(line) + 1;
    assertThat(outputText()).contains("line " + number + ": " + code + " ");
  }

  private String outputText() {
    return output.toString(StandardCharsets.UTF_8);
  }

  /** Stops the daemon of the scenario. */
  @After
  public void stop() {
    if (endpoint != null) {
      endpoint.close();
    }
  }
}
