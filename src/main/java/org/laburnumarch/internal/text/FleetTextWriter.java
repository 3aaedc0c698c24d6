package org.laburnumarch.internal.text;

import io.vavr.Tuple2;
import io.vavr.collection.SortedMap;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Writes sections as a configuration text, with the version in a comment in the first line. Parsing
 * the text returns the same sections.
 */
public final class FleetTextWriter {

  private static final Pattern VERSION = Pattern.compile("# version (\\d{1,18})\\s*");

  private FleetTextWriter() {}

  /** Returns the text with the given version in its first line. */
  public static String write(TextSections sections, long version) {
    StringBuilder text = new StringBuilder("# version ").append(version).append('\n');
    for (Tuple2<String, SortedMap<String, String>> section : sections.sections()) {
      text.append("\n[").append(section._1).append("]\n");
      section._2.forEach((key, value) -> text.append(key + " = " + value).append('\n'));
    }
    return text.toString();
  }

  /** Returns the version in the first line of a text; empty if the line contains none. */
  public static Optional<Long> versionOf(String text) {
    Matcher matcher = VERSION.matcher(text.lines().findFirst().orElse(""));
    return matcher.matches() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
  }
}
