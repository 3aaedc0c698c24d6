package org.laburnumarch.internal.text;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.laburnumarch.ResultCode;

/**
 * Scans a configuration text line by line before it is passed to the INI library.
 *
 * <p>The INI library reports no line numbers, treats a line without "=" as a key, and silently
 * merges repeated sections and keys. This class records the line numbers, reports such lines as
 * faults and leaves them out of the library's input.
 */
final class IniLines {

  private static final Pattern HEADER = Pattern.compile("\\[([^\\[\\]]+)]\\s*(?:[#;].*)?");
  private static final Pattern KEY = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
  private static final Pattern COMMENT = Pattern.compile("(?:^|\\s)[#;].*");

  // The INI library treats "=" or ":" before a quotation mark as the end of the key, anywhere in
  // the line.
  private static final Pattern QUOTED = Pattern.compile("\"|(?:^|[=:])\\s*'");
  private static final Pattern CONTROL = Pattern.compile("[\\p{Cntrl}&&[^\\t]]");

  private final TextFaults faults;
  private final Map<String, Integer> lineBySection = new HashMap<>();
  private final Map<String, Map<String, Integer>> lineByKey = new HashMap<>();
  private final StringBuilder acceptedText = new StringBuilder();
  private String section = "";
  private boolean isSectionSkipped;

  IniLines(TextFaults faults) {
    this.faults = faults;
  }

  void scan(String text) {
    int line = 0;
    for (Iterator<String> all = text.lines().iterator(); all.hasNext(); ) {
      line++;
      String content = line == 1 ? withoutByteOrderMark(all.next()) : all.next();
      scanLine(line, content.trim());
    }
  }

  /** Returns the lines without faults, as input for the INI library. */
  String acceptedText() {
    return acceptedText.toString();
  }

  /**
   * Returns the line number of a key; that of its section if the key is missing, and {@link
   * TextFault#NO_LINE} if both are missing.
   */
  int lineOf(String sectionName, String key) {
    int ofSection = lineBySection.getOrDefault(sectionName, TextFault.NO_LINE);
    return lineByKey.getOrDefault(sectionName, Map.of()).getOrDefault(key, ofSection);
  }

  private static String withoutByteOrderMark(String firstLine) {
    return firstLine.startsWith("\uFEFF") ? firstLine.substring(1) : firstLine;
  }

  private void scanLine(int line, String content) {
    if (content.isEmpty() || content.startsWith("#") || content.startsWith(";")) {
      return;
    }
    if (CONTROL.matcher(content).find()) {
      addMalformed(line, "the line contains a control character", "delete the character");
    } else if (content.endsWith("\\")) {
      addMalformed(line, "a value goes on in the next line", "write the whole value in one line");
    } else if (content.startsWith("[")) {
      scanHeader(line, content);
    } else {
      scanKey(line, content);
    }
  }

  private void scanHeader(int line, String content) {
    Matcher header = HEADER.matcher(content);
    isSectionSkipped = true;
    if (!header.matches() || header.group(1).isBlank()) {
      addMalformed(line, "the section name is not closed", "write it as [kind NAME] in one line");
      return;
    }
    section = header.group(1).trim().replaceAll("\\s+", " ");
    Integer first = lineBySection.putIfAbsent(section, line);
    if (first != null) {
      faults.addAtLine(
          line,
          ResultCode.DUPLICATE_NAME,
          "[" + section + "] was already given in line " + first,
          "merge the two sections or rename one");
      return;
    }
    isSectionSkipped = false;
    acceptedText.append('[').append(section).append("]\n");
  }

  private void scanKey(int line, String content) {
    int separator = content.indexOf('=');
    String key = separator < 0 ? "" : content.substring(0, separator).trim();
    if (!KEY.matcher(key).matches()) {
      addMalformed(
          line, "the line is neither a section nor key = value", "write it as key = value");
    } else if (section.isEmpty() && !isSectionSkipped) {
      addMalformed(line, key + " stands before the first section", "move it below a section");
    } else if (!isSectionSkipped) {
      appendSetting(
          line, key, COMMENT.matcher(content.substring(separator + 1)).replaceFirst("").trim());
    }
  }

  private void appendSetting(int line, String key, String value) {
    if (QUOTED.matcher(value).find()) {
      addMalformed(line, "a value stands in quotation marks", "leave the quotation marks out");
      return;
    }
    Integer first =
        lineByKey.computeIfAbsent(section, name -> new HashMap<>()).putIfAbsent(key, line);
    if (first != null) {
      faults.addAtLine(
          line,
          ResultCode.DUPLICATE_NAME,
          "[" + section + "] " + key + " was already given in line " + first,
          "keep one of the two lines");
      return;
    }
    acceptedText.append(key).append(" = ").append(value).append('\n');
  }

  private void addMalformed(int line, String problem, String remedy) {
    faults.addAtLine(line, ResultCode.TEXT_MALFORMED, problem, remedy);
  }
}
