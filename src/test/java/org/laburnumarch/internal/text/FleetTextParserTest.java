package org.laburnumarch.internal.text;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.ResultCode;

class FleetTextParserTest {

  private static final String VALID_TEXT =
      """
      [fleet]
      name = Small
      weighting = share-closeness
      spare-pool = spare
      [data-centre north]
      region = one
      [rack r1]
      data-centre = north
      [pool spare]
      [queue quotes]
      [service quotes]
      pool = spare
      queue = quotes
      min-available = 1
      needed = 2
      [team counters]
      share = 0.5
      upper-limit = 3
      [maintenance]
      """;

  private static Either<Seq<TextFault>, ParsedText> parse(String text) {
    return new FleetTextParser().parse(text);
  }

  private static List<TextFault> faultsOf(String text) {
    return parse(text).fold(Seq::toJavaList, parsed -> List.of());
  }

  @Nested
  class WhenTheTextIsValid {

    @ParameterizedTest
    @ValueSource(strings = {"puthenveettil", "hinokuni"})
    void shouldReadTheExamples(String firm) throws IOException {
      ParsedText parsed = parse(Files.readString(Path.of("examples", firm + ".ini"))).get();

      FleetText fleet = parsed.fleet();
      assertThat(fleet.services()).hasSize(5);
      assertThat(fleet.dataCentres()).hasSize(3);
      assertThat(fleet.racks()).hasSize(12);
      assertThat(fleet.teams()).hasSize(6);
      assertThat(fleet.services().values().count(s -> s.pool().equals("spare"))).isEqualTo(1);
      assertThat(fleet.queues().values().count(QueueSpec::isOpenToAll)).isEqualTo(1);
    }

    @Test
    void shouldParseWrittenTextAsTheSameSections() {
      // Guards against a text that "config show" prints and "config apply" then rejects.
      TextSections sections = parse(VALID_TEXT).get().sections();

      String written = FleetTextWriter.write(sections, 7);

      assertThat(parse(written).get().sections()).isEqualTo(sections);
      assertThat(FleetTextWriter.versionOf(written)).contains(7L);
    }

    @Test
    void shouldNotResolveVariableReferences() {
      // Guards against a text that reads the daemon's environment or files: the INI library
      // resolves
      // such references by default.
      String text = VALID_TEXT.replace("name = Small", "name = ${env:PATH} ${sys:user.home}");

      assertThat(parse(text).get().fleet().fleet().name())
          .isEqualTo("${env:PATH} ${sys:user.home}");
    }

    @Test
    void shouldIgnoreCommentsAndSpaces() {
      String text =
          "\uFEFF; first\r\n"
              + VALID_TEXT.replace("share = 0.5", "  share =  50 %  # half: 'of' = \"it\"");

      assertThat(parse(text).get().fleet().teams().get("counters").get().shareFraction())
          .isEqualTo(0.5);
    }
  }

  @Nested
  class WhenTheTextHasFaults {

    @Test
    void shouldReportAllFaultsWithTheirLines() {
      String text =
          VALID_TEXT
              .replace("data-centre = north", "data-centre = south")
              .replace("min-available = 1", "min-available = 3")
              .replace("upper-limit = 3", "upper-limit = 3 units\ncolour = red");

      assertThat(faultsOf(text))
          .extracting(TextFault::line, TextFault::code, TextFault::key)
          .containsExactly(
              tuple(8, ResultCode.UNKNOWN_NAME, "data-centre"),
              tuple(14, ResultCode.BUDGET_UNSATISFIABLE, "min-available"),
              tuple(18, ResultCode.VALUE_OUT_OF_RANGE, "upper-limit"),
              tuple(19, ResultCode.UNKNOWN_SETTING, "colour"));
      assertThat(faultsOf(text)).allMatch(fault -> !fault.remedy().isBlank());
    }

    @ParameterizedTest
    @CsvSource({
      "needed = 2, needed = 0, VALUE_OUT_OF_RANGE",
      "needed = 2, needed = 99999999999, VALUE_OUT_OF_RANGE",
      "needed = 2, needed = -1, VALUE_OUT_OF_RANGE",
      "needed = 2, nothing, TEXT_MALFORMED",
      "needed = 2, needed = 2\\, TEXT_MALFORMED",
      "needed = 2, # needed, MISSING_SETTING",
      "needed = 2, needed = 2|depends-on = quotes, DEPENDENCY_CYCLE",
      "needed = 2, needed = 2|depends-on = slips, UNKNOWN_NAME",
      "needed = 2, needed = 2|needed = 3, DUPLICATE_NAME",
      "queue = quotes, queue = slips, UNKNOWN_NAME",
      "queue = quotes, queue = a b, TEXT_MALFORMED",
      "pool = spare, pool = other, UNKNOWN_NAME",
      "spare-pool = spare, spare-pool = none, UNKNOWN_NAME",
      "weighting = share-closeness, weighting = cheap, VALUE_OUT_OF_RANGE",
      "weighting = share-closeness, weighting = share-closeness|max-seats = 65, VALUE_OUT_OF_RANGE",
      "[maintenance], [maintenance, TEXT_MALFORMED",
      "[maintenance], [upkeep], UNKNOWN_SETTING",
      "[maintenance], [maintenance]|enabled = true, VALUE_OUT_OF_RANGE",
      "[maintenance], [team counters], DUPLICATE_NAME",
      "[maintenance], [maintenance]|[team ü], TEXT_MALFORMED",
      "[fleet], key = value|[fleet], TEXT_MALFORMED",
      "needed = 2, needed = \"2\", TEXT_MALFORMED",
      "share = 0.5, share = 101%, VALUE_OUT_OF_RANGE",
      "share = 0.5, share = 0, VALUE_OUT_OF_RANGE",
      "share = 0.5, share = NaN, VALUE_OUT_OF_RANGE",
    })
    void shouldReportTheFaultCode(String from, String to, ResultCode code) {
      String lines = to.replace("|", "\n");
      String text =
          VALID_TEXT.replaceFirst("(?m)^\\Q" + from + "\\E$", Matcher.quoteReplacement(lines));

      assertThat(faultsOf(text)).extracting(TextFault::code).contains(code);
    }

    @Test
    void shouldRefuseSharesOverOne() {
      String more = VALID_TEXT + "[team night]\nshare = 51%\nupper-limit = 1\n";

      assertThat(faultsOf(more))
          .extracting(TextFault::code, TextFault::section, TextFault::line)
          .containsExactly(tuple(ResultCode.SHARES_EXCEED_ONE, "team night", 21));
    }

    @Test
    void shouldReportACycleOnce() {
      String cycle =
          VALID_TEXT.replace("needed = 2", "needed = 2\ndepends-on = slips")
              + """
              [service slips]
              pool = spare
              queue = quotes
              min-available = 1
              needed = 1
              depends-on = quotes
              """;

      assertThat(faultsOf(cycle))
          .extracting(TextFault::problem)
          .singleElement()
          .asString()
          .contains("quotes -> slips -> quotes");
    }

    @Test
    void shouldRefuseATextThatIsTooLarge() {
      // Guards against a text that fills the memory of every daemon.
      String text = VALID_TEXT + "#".repeat(IniText.MAX_TEXT_BYTES);

      assertThat(faultsOf(text))
          .extracting(TextFault::code)
          .containsExactly(ResultCode.TEXT_MALFORMED);
    }

    @Test
    void shouldCheckTheLongestDependencyChainWithoutStackOverflow() {
      // Guards against a recursive search, which overflows the stack.
      StringBuilder text = new StringBuilder(VALID_TEXT);
      for (int i = 0; i < 8_000; i++) {
        text.append("[service s" + i + "]\npool = spare\nqueue = quotes\nmin-available = 1\n")
            .append("needed = 1\ndepends-on = s" + (i + 1) % 8_000 + "\n");
      }

      assertThat(faultsOf(text.toString()))
          .extracting(TextFault::code)
          .containsExactly(ResultCode.DEPENDENCY_CYCLE);
    }
  }
}
