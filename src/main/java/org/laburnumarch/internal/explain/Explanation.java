package org.laburnumarch.internal.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;

/** The timeline of one job from the logs of all daemons, and the conclusions drawn from it. */
final class Explanation {

  /** How long before a job's first line conditions are included, in milliseconds. */
  private static final long LEAD_TIME_MS = 5_000;

  private final String jobId;
  private final List<LogLine> jobLines;
  private final List<LogLine> conditions;

  /**
   * Selects the lines about a job, and the conditions around them, from the lines of all daemons.
   */
  Explanation(String jobId, List<LogLine> lines) {
    this.jobId = jobId;
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparingLong(LogLine::atEpochMs));
    this.jobLines = sorted.stream().filter(line -> line.isAbout(jobId)).toList();
    this.conditions =
        jobLines.isEmpty()
            ? List.of()
            : sorted.stream()
                .filter(LogLine::isCondition)
                .filter(line -> line.atEpochMs() >= jobLines.get(0).atEpochMs() - LEAD_TIME_MS)
                .filter(line -> line.atEpochMs() <= jobLines.get(jobLines.size() - 1).atEpochMs())
                .toList();
  }

  /** Returns whether any daemon has logged the job. */
  boolean isKnown() {
    return !jobLines.isEmpty();
  }

  /**
   * Returns the log lines of the job and the conditions during and shortly before it, sorted by
   * time.
   */
  List<String> timeline() {
    List<LogLine> merged = new ArrayList<>(jobLines);
    merged.addAll(conditions);
    merged.sort(Comparator.comparingLong(LogLine::atEpochMs));
    return merged.stream()
        .map(
            line ->
                Instant.ofEpochMilli(line.atEpochMs())
                    + " "
                    + line.source()
                    + " "
                    + line.part()
                    + " "
                    + line.event()
                    + " "
                    + line.fields())
        .toList();
  }

  /** Returns the conclusions drawn from the lines, one sentence each. */
  List<String> conclusions() {
    if (jobLines.isEmpty()) {
      return List.of(
          "No daemon has logged "
              + jobId
              + ": the request reached none of them, or their log"
              + " lines are missing.");
    }
    List<String> conclusions = new ArrayList<>();
    addResponses(conclusions);
    addProgress(conclusions);
    addWaits(conclusions);
    addConditions(conclusions);
    return conclusions;
  }

  private void addResponses(List<String> conclusions) {
    jobLines.stream()
        .filter(line -> line.part().equals("callers"))
        .forEach(
            line ->
                conclusions.add(
                    line.event().equals("refused")
                        ? line.source() + " refused a request: " + line.field("cause") + "."
                        : line.source()
                            + " responded to "
                            + line.event()
                            + " with "
                            + line.field("outcome")
                            + "."));
  }

  private void addProgress(List<String> conclusions) {
    Optional<LogLine> accepted = first(line -> line.event().equals("accepted"));
    Optional<LogLine> started = first(Explanation::isObeyedStart);
    Optional<LogLine> ended = first(line -> line.event().equals("final"));
    if (accepted.isEmpty()) {
      conclusions.add("No log line shows that the job was accepted.");
    } else if (started.isEmpty()) {
      conclusions.add("The job was accepted, but none of its tasks has started.");
    } else {
      conclusions.add(
          "The first task of the job started "
              + (started.get().atEpochMs() - accepted.get().atEpochMs())
              + " ms after the job was accepted.");
    }
    TreeMap<String, Integer> counts = new TreeMap<>();
    for (LogLine line : jobLines) {
      if (line.event().equals("Start")) {
        counts.merge("start orders with outcome " + line.field("outcome"), 1, Integer::sum);
      } else if (line.event().equals("End")) {
        counts.merge("runs ended " + line.field("how"), 1, Integer::sum);
      } else if (line.event().equals("cancel")) {
        counts.merge("cancellations", 1, Integer::sum);
      }
    }
    if (!counts.isEmpty()) {
      conclusions.add("Totals: " + counts + ".");
    }
    if (ended.isPresent()) {
      conclusions.add(
          "The job's final status is "
              + ended.get().field("status")
              + accepted
                  .map(
                      line ->
                          ", logged "
                              + (ended.get().atEpochMs() - line.atEpochMs())
                              + " ms after the job was accepted")
                  .orElse("")
              + '.');
    } else {
      conclusions.add("No log line shows a final status.");
    }
  }

  private void addWaits(List<String> conclusions) {
    TreeMap<String, LogLine> longestByReason = new TreeMap<>();
    jobLines.stream()
        .filter(line -> line.event().equals("waiting"))
        .forEach(
            line ->
                longestByReason.merge(
                    line.field("reason"),
                    line,
                    BinaryOperator.maxBy(Comparator.comparingLong(Explanation::standingMs))));
    longestByReason.forEach(
        (reason, line) ->
            conclusions.add(
                "The job stood for up to "
                    + standingMs(line)
                    + " ms under one owner, reason "
                    + reason
                    + ", waiting for workers: "
                    + line.field("waits_for")
                    + '.'));
  }

  private static long standingMs(LogLine line) {
    String text = line.field("standing_ms");
    return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
  }

  private void addConditions(List<String> conclusions) {
    long takeovers = conditions.stream().filter(line -> line.event().equals("gained")).count();
    if (takeovers > 0) {
      conclusions.add(
          "The owner changed "
              + takeovers
              + " times during the job or shortly before it; after a change, earlier jobs wait"
              + " until all workers of their pool have reported.");
    }
    if (conditions.stream().anyMatch(line -> line.event().equals("write-failed"))) {
      conclusions.add("The owner could not write to the store during part of this time.");
    }
    if (conditions.stream().anyMatch(line -> line.event().equals("dropped"))) {
      conclusions.add(
          "Log lines were dropped during the job or shortly before it; more may have happened than"
              + " is shown.");
    }
  }

  private static boolean isObeyedStart(LogLine line) {
    return line.event().equals("Start") && line.field("outcome").equals("OBEYED");
  }

  private Optional<LogLine> first(Predicate<LogLine> condition) {
    return jobLines.stream().filter(condition).findFirst();
  }
}
