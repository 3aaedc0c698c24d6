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
  private final VirtualPause pause = new VirtualPause();
  private FakeOperatorBackend backend;
  private TestEntry entry;
  private Path tokenFile;

  @BeforeEach
  void start() throws Exception {
    backend = new FakeOperatorBackend(Files.readString(EXAMPLE));
    entry = new TestEntry(backend);
    tokenFile =
        Files.writeString(directory.resolve("token"), "anna " + TestEntry.TOKEN + "\nbiju b\n");
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  private int run(String command, String... more) {
    List<String> args = new ArrayList<>(List.of(command.split(" ")));
    args.addAll(List.of(more));
    out.reset();
    err.reset();
    CommandLine line = new CommandLine(Subcommands.ofOperators(pause));
    return line.run(
        args.toArray(String[]::new), new PrintStream(out, true), new PrintStream(err, true));
  }

  private int ask(String command, String... more) {
    List<String> all = new ArrayList<>(List.of(more));
    all.addAll(List.of("--entry", entry.address(), "--operator", "anna"));
    all.addAll(List.of("--token-file", tokenFile.toString()));
    return run(command, all.toArray(String[]::new));
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8) + err.toString(StandardCharsets.UTF_8);
  }

  private String file(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content).toString();
  }

  @Nested
  class WhenTheCommandIsNotUnderstood {

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
    void shouldSayWhatIsWrong(String command) {
      assertThat(run(command)).isEqualTo(2);
      assertThat(text()).contains("2001 USAGE: ");
    }

    @Test
    void shouldShowAnExampleForEachCommand() {
      run("help");
      for (String words : Subcommands.ofOperators().all().keySet()) {
        assertThat(text()).contains(words);
      }
      for (String words : Subcommands.ofOperators().all().keySet()) {
        assertThat(run(words + " --help")).isZero();
        assertThat(text()).contains("Example:\n  laburnumarch " + words);
      }
    }
  }

  @Nested
  class WhenTheTextIsEdited {

    @Test
    void shouldApplyWhatShowPrinted() throws IOException {
      ask("config show");
      String edited = file("new.ini", out.toString(StandardCharsets.UTF_8).replace("= 21", "= 20"));

      assertThat(ask("config diff", edited)).isZero();
      assertThat(text()).contains("[maintenance]\n- interval-days = 21\n+ interval-days = 20");
      assertThat(ask("config apply", edited)).isZero();
      assertThat(text()).contains("Version 2 is in force.");
      assertThat(ask("config apply", edited)).isEqualTo(2);
      assertThat(text()).contains("1101 STALE_BASE_VERSION");
      ask("config history");
      assertThat(text()).contains("ConfigChanged").contains("anna");
    }

    @Test
    void shouldAskForConfirmationBeforeSectionsAreRemoved() throws IOException {
      // Guards against a truncated file that drops half of the fleet.
      String text = Files.readString(EXAMPLE).replaceAll("(?s)\\[team inspectors].*?\\n\\n", "");
      String edited = file("new.ini", "# version 1\n" + text);

      assertThat(ask("config apply", edited)).isEqualTo(2);
      assertThat(text()).contains("2002 CONFIRMATION_MISSING").contains("[team inspectors]");
      assertThat(backend.submissions()).isZero();
      assertThat(ask("config apply", edited, "--yes")).isZero();
    }

    @Test
    void shouldRefuseATextOfUnknownOrigin() {
      // Guards against overwriting changes that were made after the file was.
      assertThat(ask("config apply", EXAMPLE.toString())).isEqualTo(2);
      assertThat(text()).contains("--base N");
    }
  }

  @Nested
  class WhenAnEntryFails {

    @Test
    void shouldTryTheNextIfNothingWasSent() {
      assertThat(ask("status", "--entry", TestEntry.deadAddress())).isZero();
      assertThat(
              run(
                  "status",
                  "--entry",
                  TestEntry.deadAddress(),
                  "--token-file",
                  tokenFile.toString(),
                  "--operator",
                  "anna"))
          .isEqualTo(4);
      assertThat(text()).contains("2003 ENTRY_UNREACHABLE").contains("nothing was sent");
    }

    @Test
    void shouldPrintTheOperationIdOfAnUnknownOutcome() {
      // Guards against a change that cannot be repeated safely because its id is not known.
      entry.cutNextAnswer();

      assertThat(ask("datacentre out shoranur --yes")).isEqualTo(4);
      String id = text().replaceAll("(?s).*--operation-id (\\S+).*", "$1");
      assertThat(ask("datacentre out shoranur --yes", "--operation-id", id)).isZero();
      assertThat(backend.submissions()).isEqualTo(1);
    }

    @Test
    void shouldNotRepeatAtTheNextEntryWhatWasSent() throws IOException {
      // Guards against a second key whose grant the operator was not told of.
      assertThat(ask("key grant pilgrims", "--entry", TestEntry.closingAddress())).isEqualTo(4);
      assertThat(text()).contains("1504 APPEND_OUTCOME_UNKNOWN").contains("--operation-id ");
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

      assertThat(ask("datacentre out kollam --yes --wait")).isZero();
      assertThat(text()).contains("In force at 1 of 1 daemons");
    }

    @Test
    void shouldNotTakeNoMembersForAllMembers() {
      // Guards against "in force everywhere" from a daemon that has heard of nobody.
      assertThat(ask("datacentre out kollam --yes --wait --wait-seconds 1")).isEqualTo(4);
    }

    @Test
    void shouldGiveUpAtTheBoundAndNameWhoIsBehind() {
      // Guards against a wait without end, and against "done" while a member is behind.
      backend.members = List.of(member("e1", 1, true), member("e2", 0, true));

      assertThat(ask("datacentre out kollam --yes --wait --wait-seconds 1")).isEqualTo(4);
      assertThat(text()).contains("In force at 1 of 2 daemons").contains("not confirmed it: e2");
      assertThat(pause.nowMs()).isEqualTo(1_000);
    }
  }

  @Nested
  class WhenProgramsRead {

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
      assertThat(ask(command, "--json")).isZero();
      assertThat(out.toString(StandardCharsets.UTF_8))
          .startsWith("{\"result\":1000")
          .endsWith("}\n");
      assertThat(ask(command)).isZero();
    }

    @Test
    void shouldPrintFaultsAndDifferencesAsJson() throws IOException {
      String faulty = file("faulty.ini", Files.readString(EXAMPLE).replace("= 21", "= never"));
      String edited = file("edited.ini", Files.readString(EXAMPLE).replace("= 21", "= 20"));

      assertThat(run("config check --json", faulty)).isEqualTo(2);
      assertThat(text()).contains("\"faults\":[{\"line\":").doesNotContain("Mend");
      assertThat(run("config check --json", edited)).isZero();
      assertThat(text()).contains("\"faults\":[]");
      assertThat(ask("config diff --json", edited)).isZero();
      assertThat(text()).contains("\"replaced\":[\"maintenance\"]");
    }

    @Test
    void shouldPrintRefusalsAsJson() {
      assertThat(run("status --json")).isEqualTo(2);
      assertThat(out.toString(StandardCharsets.UTF_8)).startsWith("{\"result\":2001");
      assertThat(ask("key revoke x --json")).isEqualTo(2);
      assertThat(out.toString(StandardCharsets.UTF_8)).startsWith("{\"result\":2002");
    }
  }
}
