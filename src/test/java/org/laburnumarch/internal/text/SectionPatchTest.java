package org.laburnumarch.internal.text;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class SectionPatchTest {

  private static TextSections text(Map<String, Map<String, String>> sections) {
    SortedMap<String, SortedMap<String, String>> result = TreeMap.empty();
    for (var section : sections.entrySet()) {
      result = result.put(section.getKey(), TreeMap.ofAll(section.getValue()));
    }
    return new TextSections(result);
  }

  /** Guards against a patch that loses a section or leaves one behind. */
  @Property(tries = 500, seed = "3")
  void shouldTransformOneTextIntoTheOther(
      @ForAll @Size(max = 4)
          Map<
                  @StringLength(min = 1, max = 1) @AlphaChars String,
                  @Size(max = 2) Map<@StringLength(max = 1) String, @StringLength(max = 1) String>>
              from,
      @ForAll @Size(max = 4)
          Map<
                  @StringLength(min = 1, max = 1) @AlphaChars String,
                  @Size(max = 2) Map<@StringLength(max = 1) String, @StringLength(max = 1) String>>
              to) {
    TextSections result = text(from).apply(SectionPatch.between(text(from), text(to)));
    assertThat(result).isEqualTo(text(to));
    assertThat(result.digest()).isEqualTo(text(to).digest());
    assertThat(text(from).equals(text(to)))
        .isEqualTo(text(from).digest().equals(text(to).digest()))
        .isEqualTo(SectionPatch.between(text(from), text(to)).isEmpty());
  }

  /**
   * Guards against patches, and thus log records, that grow with the text instead of the change.
   */
  @Test
  void shouldContainOnlyChangedSections() {
    TextSections from = text(Map.of("a", Map.of("k", "1"), "b", Map.of("k", "1")));
    TextSections to = text(Map.of("a", Map.of("k", "1"), "b", Map.of("k", "2")));
    assertThat(SectionPatch.between(from, to).replaced()).containsOnlyKeys("b");
    assertThat(SectionPatch.between(from, to).removed()).isEmpty();
  }

  /** Guards against two texts that share a canonical form. */
  @Test
  void shouldDistinguishNamesFromValuesInTheDigest() {
    assertThat(text(Map.of("a", Map.of("b", "c"))).digest())
        .isNotEqualTo(text(Map.of("a", Map.of("bc", ""))).digest())
        .isNotEqualTo(text(Map.of("a", Map.of(), "b", Map.of("c", ""))).digest());
  }
}
