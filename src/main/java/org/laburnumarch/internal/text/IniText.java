package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.laburnumarch.ResultCode;

/**
 * A text in INI form with the line numbers of its sections and keys.
 *
 * <p>Values are taken literally. References such as {@code ${env:NAME}} are not resolved, although
 * the INI library supports them: configuration texts arrive over the network and must not read the
 * daemon's environment or files.
 */
public final class IniText {

  /** Maximum size of a text, in bytes of UTF-8. */
  public static final int MAX_TEXT_BYTES = 1 << 20;

  private final TextSections sections;
  private final IniLines lines;
  private final Vector<TextFault> faults;
  private final boolean tooLarge;

  private IniText(
      TextSections sections, IniLines lines, Vector<TextFault> faults, boolean tooLarge) {
    this.sections = sections;
    this.lines = lines;
    this.faults = faults;
    this.tooLarge = tooLarge;
  }

  /** Parses a text; malformed lines are left out and reported as faults. */
  public static IniText read(String text) {
    TextFaults faults = new TextFaults();
    IniLines lines = new IniLines(faults);
    if (isOversized(text)) {
      faults.add(
          "",
          "",
          ResultCode.TEXT_MALFORMED,
          "the text is larger than " + MAX_TEXT_BYTES + " bytes",
          "shorten it, for instance its comments");
      return new IniText(TextSections.empty(), lines, faults.toVector(), true);
    }
    lines.scan(text);
    return new IniText(sectionsOf(lines.acceptedText()), lines, faults.toVector(), false);
  }

  private static boolean isOversized(String text) {
    return text.length() > MAX_TEXT_BYTES
        || text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES;
  }

  private static TextSections sectionsOf(String acceptedText) {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInInput("=");
    try {
      ini.read(new StringReader(acceptedText));
    } catch (ConfigurationException | IOException e) {
      throw new IllegalStateException(
          "the INI library rejected a text that passed the line checks", e);
    }
    SortedMap<String, SortedMap<String, String>> sections = TreeMap.empty();
    for (ImmutableNode section : ini.getNodeModel().getInMemoryRepresentation().getChildren()) {
      sections = sections.put(section.getNodeName(), valuesOf(section));
    }
    return new TextSections(sections);
  }

  private static SortedMap<String, String> valuesOf(ImmutableNode section) {
    SortedMap<String, String> values = TreeMap.empty();
    for (ImmutableNode key : section.getChildren()) {
      values = values.put(key.getNodeName(), String.valueOf(key.getValue()).trim());
    }
    return values;
  }

  /** Returns the sections that could be parsed. */
  public TextSections sections() {
    return sections;
  }

  /** Returns the syntactic faults of the text. */
  public Vector<TextFault> faults() {
    return faults;
  }

  /** Returns whether the text was not parsed because it exceeds {@link #MAX_TEXT_BYTES}. */
  public boolean isTooLarge() {
    return tooLarge;
  }

  /** Returns the faults with the line numbers of their sections and keys. */
  public Seq<TextFault> withLines(Seq<TextFault> withoutLines) {
    return withoutLines.map(fault -> fault.atLine(lines.lineOf(fault.section(), fault.key())));
  }
}
