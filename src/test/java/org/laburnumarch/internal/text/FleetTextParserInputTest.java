package org.laburnumarch.internal.text;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;

class FleetTextParserInputTest {

  // Guards against input that makes the parser throw instead of reporting faults.
  @Property(tries = 2_000)
  void shouldNotThrowOnAnyInput(
      @ForAll
          @Chars({
            '[', ']', '=', '\n', '\r', '\\', '"', '\'', '#', ';', ':', ' ', '$', '{', '}', '\u2028'
          })
          @CharRange(from = 'a', to = 'f')
          @StringLength(max = 60)
          String text) {
    assertThatCode(() -> new FleetTextParser().parse(text)).doesNotThrowAnyException();
    assertThatCode(
            () -> new FleetTextParser().parse("[fleet]\n" + text + "\n[team a]\nshare = " + text))
        .doesNotThrowAnyException();
  }

  // Guards against a text that "config show" prints in a form that parses as another text.
  @Property(tries = 2_000)
  void shouldParseWrittenTextAsTheSameSections(
      @ForAll
          @Chars({'"', '\'', '#', ';', '=', ':', ' ', '$', '{', '}', '[', ']', '\u2028', 'a', 'é'})
          @StringLength(min = 1, max = 8)
          String name)
      throws IOException {
    String example = Files.readString(Path.of("examples", "hinokuni.ini"));
    String text = example.replaceFirst("name = .*", Matcher.quoteReplacement("name = " + name));

    new FleetTextParser()
        .parse(text)
        .forEach(
            parsed ->
                assertThat(
                        new FleetTextParser()
                            .parse(FleetTextWriter.write(parsed.sections(), 1))
                            .get()
                            .sections())
                    .isEqualTo(parsed.sections()));
  }
}
