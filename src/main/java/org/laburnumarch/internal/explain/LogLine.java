package org.laburnumarch.internal.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One structured line of a daemon's log.
 *
 * @param atEpochMs when the line was written, by the clock of its instance, in Unix milliseconds
 * @param source the daemon or the file that the line comes from
 * @param part the part of the program that wrote it
 * @param event what happened
 * @param fields the line's other fields, by name
 */
record LogLine(
    long atEpochMs, String source, String part, String event, Map<String, String> fields) {

  private static final Pattern LINE =
      Pattern.compile(
          "(?<prefix>.*?)(?<time>\\d{4}-\\d\\d-\\d\\dT\\S+Z) \\w+ (?<part>\\w+):"
              + " event=(?<event>\\S+)(?<fields>.*)");

  private static final Pattern FIELD = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S*)");

  /** Parses a line; empty if the line is not a structured one. */
  static Optional<LogLine> parse(String source, String text) {
    Matcher line = LINE.matcher(text);
    if (!line.matches()) {
      return Optional.empty();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher field = FIELD.matcher(line.group("fields"));
    while (field.find()) {
      fields.put(field.group(1), field.group(2).replace("\"", ""));
    }
    // A log collector may have added the daemon's name before the time.
    String prefix = line.group("prefix").trim();
    String name = prefix.isEmpty() ? source : prefix.substring(prefix.lastIndexOf(' ') + 1);
    try {
      return Optional.of(
          new LogLine(
              Instant.parse(line.group("time")).toEpochMilli(),
              name,
              line.group("part"),
              line.group("event"),
              fields));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns whether the line is about a job or one of its tasks. */
  boolean isAbout(String jobId) {
    return field("job").equals(jobId)
        || field("task").startsWith(jobId + '.')
        || field("path").endsWith('/' + jobId);
  }

  /** Returns whether the line reports a condition that affects every job. */
  boolean isCondition() {
    return switch (part) {
      case "owner" -> true;
      case "store" -> event.equals("lost") || event.equals("regained");
      case "jobs" -> event.startsWith("write-");
      case "log" -> event.equals("dropped");
      default -> false;
    };
  }
}
