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

/** Steps of the features that say what an operator sees. */
public final class OperatorSteps {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private String text = "";
  private String key = "";
  private int exitStatus = -1;
  private TestEntry entry;

  @Given("the example text of {string}")
  public void takeExample(String firm) throws IOException {
    text = Files.readString(Path.of("examples", firm + ".ini"));
  }

  @Given("the line {string} is replaced by {string}")
  public void replaceLine(String from, String to) {
    assertThat(text).contains(from + "\n");
    text = text.replace(from + "\n", to + "\n");
  }

  @Given("a daemon with the text of {string}")
  public void startDaemon(String firm) throws Exception {
    takeExample(firm);
    entry = new TestEntry(new FakeOperatorBackend(text));
  }

  @Given("the operator has granted a key to {string}")
  public void grantKey(String team) throws IOException {
    runAsOperator("key grant " + team);
    key = shown().replaceAll("(?s).*Key: +(\\S+).*", "$1");
  }

  @When("the operator runs {string}")
  public void runAsOperator(String command) throws IOException {
    run(command, TestEntry.TOKEN);
  }

  @When("a stranger runs {string}")
  public void runAsStranger(String command) throws IOException {
    run(command, "guessed");
  }

  private void run(String command, String token) throws IOException {
    Path file = Files.writeString(Files.createTempFile("fleet", ".ini"), text);
    Path tokenFile = Files.writeString(Files.createTempFile("token", ""), token);
    try {
      String whole = command.replace("FILE", file.toString()).replace("KEY", key);
      List<String> args = new ArrayList<>(List.of(whole.split(" ")));
      if (entry != null) {
        args.addAll(List.of("--entry", entry.address(), "--token-file", tokenFile.toString()));
      }
      output.reset();
      PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
      CommandLine line = new CommandLine(Subcommands.ofOperators(new VirtualPause()));
      exitStatus = line.run(args.toArray(String[]::new), stream, stream);
    } finally {
      Files.delete(file);
      Files.delete(tokenFile);
    }
  }

  @Then("the exit status is {int}")
  public void checkExitStatus(int expected) {
    assertThat(exitStatus).as(shown()).isEqualTo(expected);
  }

  @Then("the output contains {string}")
  public void checkOutput(String expected) {
    assertThat(shown()).contains(expected);
  }

  @Then("the output does not contain {string}")
  public void checkOutputLacks(String unexpected) {
    assertThat(shown()).doesNotContain(unexpected);
  }

  @Then("the output names {int}")
  public void checkCode(int code) {
    assertThat(shown()).contains(": " + code + " ");
  }

  @Then("the output names {int} at the line of {string}")
  public void checkCodeAtLine(int code, String line) {
    int number = text.lines().toList().indexOf(line) + 1;
    assertThat(shown()).contains("line " + number + ": " + code + " ");
  }

  private String shown() {
    return output.toString(StandardCharsets.UTF_8);
  }

  /** Stops the daemon of the scenario. */
  @After
  public void stop() {
    if (entry != null) {
      entry.close();
    }
  }
}
