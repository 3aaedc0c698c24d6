package org.laburnumarch.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.operator.FakeOperatorBackend;
import org.laburnumarch.internal.operator.FleetStatus.MemberView;

class CommandLineTest {

  private static final Path EXAMPLE = Path.of("examples/puthenveettil.ini");

  @TempDir private Path directory;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final VirtualClock clock = new VirtualClock();
  private FakeOperatorBackend backend;
  private TestOperatorEndpoint endpoint;
  private Path tokenFile;

  @BeforeEach
  void start() throws Exception {
    backend = new FakeOperatorBackend(Files.readString(EXAMPLE));
    endpoint = new TestOperatorEndpoint(backend);
    tokenFile =
        Files.writeString(
            directory.resolve("token"), "anna " + TestOperatorEndpoint.TOKEN + "\nbiju b\n");
  }

  @AfterEach
  void stop() {
    endpoint.close();
  }

  private int run(String command, String... more) {
    List<String> args = new ArrayList<>(List.of(command.split(" ")));
    args.addAll(List.of(more));
    out.reset();
    err.reset();
    CommandLine line = new CommandLine(Subcommands.operatorCommands(clock));
    return line.run(
        args.toArray(String[]::new), new PrintStream(out, true), new PrintStream(err, true));
  }

  private int runAsOperator(String command, String... more) {
    List<String> all = new ArrayList<>(List.of(more));
    all.addAll(List.of("--entry", endpoint.address(), "--operator", "anna"));
    all.addAll(List.of("--token-file", tokenFile.toString()));
    return run(command, all.toArray(String[]::new));
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
  }

  private String file(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content).toString();
  }

  @Nested
  class WhenTheCommandLineIsInvalid {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "key",
          "key steal",
          "nothing",
          "key grant",
          "status --colour",
          "status --entry 127.0.0.1:x",
          "status --entry 127.0.0.1:65536",
          "status --timeout-ms 0",
          "config check",
          "config check /none.ini"
        })
    void shouldReportAUsageError(String command) {
      assertThat(run(command)).isEqualTo(2);
      assertThat(output()).contains("2001 USAGE: ");
    }

    @Test
    void shouldShowAnExampleForEachCommand() {
      run("help");
      for (String name : Subcommands.operatorCommands().all().keySet()) {
        assertThat(output()).contains(name);
      }
      for (String name : Subcommands.operatorCommands().all().keySet()) {
        assertThat(run(name + " --help")).isZero();
        assertThat(output()).contains("Example:\n  laburnumarch " + name);
      }
    }
  }

  @Nested
  class WhenTheConfigurationIsEdited {

    @Test
    void shouldApplyAnEditedOutputOfShow() throws IOException {
      runAsOperator("config show");
      String edited = file("new.ini", out.toString(StandardCharsets.UTF_8).replace("= 21", "= 20"));

      assertThat(runAsOperator("config diff", edited)).isZero();
      assertThat(output()).contains("[maintenance]\n- interval-days = 21\n+ interval-days = 20");
      assertThat(runAsOperator("config apply", edited)).isZero();
      assertThat(output()).contains("Version 2 is in force.");
      assertThat(runAsOperator("config apply", edited)).isEqualTo(2);
      assertThat(output()).contains("1101 STALE_BASE_VERSION");
      runAsOperator("config history");
      assertThat(output()).contains("ConfigChanged").contains("anna");
    }

    @Test
    void shouldAskForConfirmationBeforeSectionsAreRemoved() throws IOException {
      // Guards against a truncated file that removes half of the fleet's sections.
      String text = Files.readString(EXAMPLE).replaceAll("(?s)\\[team inspectors].*?\\n\\n", "");
      String edited = file("new.ini", "# version 1\n" + text);

      assertThat(runAsOperator("config apply", edited)).isEqualTo(2);
      assertThat(output()).contains("2002 CONFIRMATION_MISSING").contains("[team inspectors]");
      assertThat(backend.submissions()).isZero();
      assertThat(runAsOperator("config apply", edited, "--yes")).isZero();
    }

    @Test
    void shouldRefuseAFileWithoutBaseVersion() {
      // Guards against overwriting changes that were made after the file was written.
      assertThat(runAsOperator("config apply", EXAMPLE.toString())).isEqualTo(2);
      assertThat(output()).contains("--base N");
    }
  }

  @Nested
  class WhenADaemonFails {

    @Test
    void shouldTryTheNextDaemonIfNothingWasSent() {
      assertThat(runAsOperator("status", "--entry", TestOperatorEndpoint.refusingAddress()))
          .isZero();
      assertThat(
              run(
                  "status",
                  "--entry",
                  TestOperatorEndpoint.refusingAddress(),
                  "--token-file",
                  tokenFile.toString(),
                  "--operator",
                  "anna"))
          .isEqualTo(4);
      assertThat(output()).contains("2003 ENTRY_UNREACHABLE").contains("nothing was sent");
    }

    @Test
    void shouldPrintTheOperationIdOfAnUnknownOutcome() {
      // Guards against a change that cannot be repeated safely because its id is not known.
      endpoint.failNextResponse();

      assertThat(runAsOperator("datacentre out shoranur --yes")).isEqualTo(4);
      String id = output().replaceAll("(?s).*--operation-id (\\S+).*", "$1");
      assertThat(runAsOperator("datacentre out shoranur --yes", "--operation-id", id)).isZero();
      assertThat(backend.submissions()).isEqualTo(1);
    }

    @Test
    void shouldNotRetryAtAnotherDaemonAfterSending() throws IOException {
      // Guards against granting a second key that the operator does not know of.
      assertThat(
              runAsOperator("key grant pilgrims", "--entry", TestOperatorEndpoint.closingAddress()))
          .isEqualTo(4);
      assertThat(output()).contains("1504 APPEND_OUTCOME_UNKNOWN").contains("--operation-id ");
      assertThat(backend.submissions()).isZero();
    }
  }

  @Nested
  class WhenWaitingForAChange {

    private MemberView member(String instance, long nextOffset, boolean isAlive) {
      return new MemberView("m-" + instance, instance, "kollam", nextOffset, 10, true, isAlive);
    }

    @Test
    void shouldWaitForLiveMembersOnly() {
      backend.members = List.of(member("e1", 1, true), member("e2", 0, false));

      assertThat(runAsOperator("datacentre out kollam --yes --wait")).isZero();
      assertThat(output()).contains("In force at 1 of 1 daemons");
    }

    @Test
    void shouldNotReportSuccessIfNoMembersAreKnown() {
      // Guards against reporting success from a daemon that knows of no members.
      assertThat(runAsOperator("datacentre out kollam --yes --wait --wait-seconds 1")).isEqualTo(4);
    }

    @Test
    void shouldStopAtTheTimeoutAndListMissingDaemons() {
      // Guards against an endless wait, and against reporting success while a member is behind.
      backend.members = List.of(member("e1", 1, true), member("e2", 0, true));

      assertThat(runAsOperator("datacentre out kollam --yes --wait --wait-seconds 1")).isEqualTo(4);
      assertThat(output()).contains("In force at 1 of 2 daemons").contains("not confirmed it: e2");
      assertThat(clock.nowMs()).isEqualTo(1_000);
    }
  }

  @Nested
  class WhenJsonIsRequested {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "status",
          "audit",
          "key list",
          "datacentre list",
          "maintenance status",
          "config show"
        })
    void shouldPrintOneJsonObject(String command) {
      assertThat(runAsOperator(command, "--json")).isZero();
      assertThat(out.toString(StandardCharsets.UTF_8))
          .startsWith("{\"result\":1000")
          .endsWith("}\n");
      assertThat(runAsOperator(command)).isZero();
    }

    @Test
    void shouldPrintFaultsAndDifferencesAsJson() throws IOException {
      String faulty = file("faulty.ini", Files.readString(EXAMPLE).replace("= 21", "= never"));
      String edited = file("edited.ini", Files.readString(EXAMPLE).replace("= 21", "= 20"));

      assertThat(run("config check --json", faulty)).isEqualTo(2);
      assertThat(output()).contains("\"faults\":[{\"line\":").doesNotContain("Mend");
      assertThat(run("config check --json", edited)).isZero();
      assertThat(output()).contains("\"faults\":[]");
      assertThat(runAsOperator("config diff --json", edited)).isZero();
      assertThat(output()).contains("\"replaced\":[\"maintenance\"]");
    }

    @Test
    void shouldPrintRefusalsAsJson() {
      assertThat(run("status --json")).isEqualTo(2);
      assertThat(out.toString(StandardCharsets.UTF_8)).startsWith("{\"result\":2001");
      assertThat(runAsOperator("key revoke x --json")).isEqualTo(2);
      assertThat(out.toString(StandardCharsets.UTF_8)).startsWith("{\"result\":2002");
    }
  }
}
