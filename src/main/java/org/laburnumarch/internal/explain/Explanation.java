package org.laburnumarch.internal.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** What the logs of all daemons say of one job, in order, and what follows from it. */
final class Explanation {

  /** How long before the first line of a job conditions are shown, in milliseconds. */
  private static final long CONTEXT_MS = 5_000;

  private final String jobId;
  private final List<LogLine> course;
  private final List<LogLine> conditions;

  /** Selects what concerns a job from the lines of all daemons. */
  Explanation(String jobId, List<LogLine> lines) {
    this.jobId = jobId;
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparingLong(LogLine::atEpochMs));
    this.course = sorted.stream().filter(line -> line.isAbout(jobId)).toList();
    this.conditions =
        course.isEmpty()
            ? List.of()
            : sorted.stream()
                .filter(LogLine::isCondition)
                .filter(line -> line.atEpochMs() >= course.get(0).atEpochMs() - CONTEXT_MS)
                .filter(line -> line.atEpochMs() <= course.get(course.size() - 1).atEpochMs())
                .toList();
  }

  /** Returns whether any daemon has logged the job. */
  boolean isKnown() {
    return !course.isEmpty();
  }

  /** Returns the course of the job among the conditions of its time, a line each. */
  List<String> timeline() {
    List<LogLine> merged = new ArrayList<>(course);
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

  /** Returns what follows from the lines, a sentence each. */
  List<String> conclusions() {
    if (course.isEmpty()) {
      return List.of(
          "No daemon has logged "
              + jobId
              + ": the request reached none of them, or their lines"
              + " are missing.");
    }
    List<String> conclusions = new ArrayList<>();
    addAnswers(conclusions);
    addCourse(conclusions);
    addConditions(conclusions);
    return conclusions;
  }

  private void addAnswers(List<String> conclusions) {
    course.stream()
        .filter(line -> line.part().equals("callers"))
        .forEach(
            line ->
                conclusions.add(
                    line.event().equals("refused")
                        ? line.source() + " refused it: " + line.field("cause") + "."
                        : line.source()
                            + " answered "
                            + line.event()
                            + " with "
                            + line.field("outcome")
                            + "."));
  }

  private void addCourse(List<String> conclusions) {
    Optional<LogLine> accepted = first(line -> line.event().equals("accepted"));
    Optional<LogLine> started = first(Explanation::isObeyedStart);
    Optional<LogLine> ended = first(line -> line.event().equals("final"));
    if (accepted.isEmpty()) {
      conclusions.add("No line says that it was accepted.");
    } else if (started.isEmpty()) {
      conclusions.add("It was accepted and nothing of it has started.");
    } else {
      conclusions.add(
          "Its first task started "
              + (started.get().atEpochMs() - accepted.get().atEpochMs())
              + " ms after it was accepted.");
    }
    TreeMap<String, Integer> counts = new TreeMap<>();
    for (LogLine line : course) {
      if (line.event().equals("Start")) {
        counts.merge("starts answered " + line.field("outcome"), 1, Integer::sum);
      } else if (line.event().equals("End")) {
        counts.merge("ends " + line.field("how"), 1, Integer::sum);
      } else if (line.event().equals("cancel")) {
        counts.merge("cancellations", 1, Integer::sum);
      }
    }
    if (!counts.isEmpty()) {
      conclusions.add("In all: " + counts + ".");
    }
    if (ended.isPresent()) {
      conclusions.add(
          "It became "
              + ended.get().field("status")
              + accepted
                  .map(line -> " " + (ended.get().atEpochMs() - line.atEpochMs()) + " ms later")
                  .orElse("")
              + '.');
    } else {
      conclusions.add("No line names a final status.");
    }
  }

  private void addConditions(List<String> conclusions) {
    long takeOvers = conditions.stream().filter(line -> line.event().equals("gained")).count();
    if (takeOvers > 0) {
      conclusions.add(
          "The owner changed "
              + takeOvers
              + " times in its time; work of before then waits until"
              + " all workers of its pool have reported.");
    }
    if (conditions.stream().anyMatch(line -> line.event().equals("write-failed"))) {
      conclusions.add("The owner could not store for a part of its time.");
    }
    if (conditions.stream().anyMatch(line -> line.event().equals("dropped"))) {
      conclusions.add("Lines were dropped in its time; more may have happened than is shown.");
    }
  }

  private static boolean isObeyedStart(LogLine line) {
    return line.event().equals("Start") && line.field("outcome").equals("OBEYED");
  }

  private Optional<LogLine> first(Predicate<LogLine> condition) {
    return course.stream().filter(condition).findFirst();
  }
}
