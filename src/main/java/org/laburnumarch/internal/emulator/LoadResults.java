package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.laburnumarch.Outcome;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.emulator.LoadClient.Kind;
import org.laburnumarch.internal.emulator.LoadClient.Reply;

/** What the callers saw of each request, compared in the end with what the minions ran. */
final class LoadLedger {

  private static final long MAX_LATENCY_US = 120_000_000;

  /** How a request ended for its caller. */
  enum Ending {
    DONE,
    ANSWERED_OTHERWISE,
    REFUSED_NOT_RUN,
    OUTCOME_UNKNOWN,
    CONNECTION_LOST,
    NOT_SENT,
    LATE
  }

  /** What is known of one request. */
  private record Seen(Ending ending, boolean idempotent) {}

  private final Map<String, Seen> requests = new HashMap<>();
  private final Map<Ending, Integer> endings = new HashMap<>();
  private final Map<Integer, Integer> results = new TreeMap<>();
  private final Map<String, Integer> doneByTeam = new TreeMap<>();
  private final Histogram answeredUs = new Histogram(MAX_LATENCY_US, 3);
  private final Histogram refusedUs = new Histogram(MAX_LATENCY_US, 3);
  private int wrongAnswer;
  private String firstWrongAnswer = "";

  /** Notes the end of a request and returns how it ended. */
  synchronized Ending note(
      String id, String team, boolean idempotent, Reply reply, long latencyUs) {
    Ending ending = endingOf(reply);
    requests.put(id, new Seen(ending, idempotent));
    endings.merge(ending, 1, Integer::sum);
    results.merge(reply.resultNumber(), 1, Integer::sum);
    if (ending == Ending.DONE) {
      doneByTeam.merge(team, 1, Integer::sum);
      answeredUs.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
      if (!reply.body().contains("\"requestId\":\"" + id + "\"")) {
        wrongAnswer++;
        firstWrongAnswer = id + " got " + reply.body();
      }
    } else if (ending == Ending.REFUSED_NOT_RUN) {
      refusedUs.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
    }
    return ending;
  }

  private static Ending endingOf(Reply reply) {
    if (reply.kind() != Kind.ANSWERED) {
      return switch (reply.kind()) {
        case NOT_SENT -> Ending.NOT_SENT;
        case CONNECTION_LOST -> Ending.CONNECTION_LOST;
        default -> Ending.LATE;
      };
    }
    if (reply.resultNumber() == 0 || reply.resultNumber() == ResultCode.OK.number()) {
      return reply.status() / 100 == 2 ? Ending.DONE : Ending.ANSWERED_OTHERWISE;
    }
    Outcome outcome = outcomeOf(reply.resultNumber());
    return outcome == Outcome.NOT_RUN || outcome == Outcome.INVALID
        ? Ending.REFUSED_NOT_RUN
        : Ending.OUTCOME_UNKNOWN;
  }

  private static Outcome outcomeOf(int number) {
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == number) {
        return code.outcome();
      }
    }
    return Outcome.UNKNOWN;
  }

  private int count(Ending ending) {
    return endings.getOrDefault(ending, 0);
  }

  /**
   * Compares with what ran and writes the summary.
   *
   * @param runs runs by request id, over all minions
   * @param runsKnown whether the minions could be asked; else only what callers saw is judged
   * @return the number of violations
   */
  synchronized int summarise(Map<String, Integer> runs, boolean runsKnown, ObjectNode summary) {
    int ranTwice = 0;
    int refusedButRan = 0;
    int doneButNotRun = 0;
    for (Map.Entry<String, Seen> entry : requests.entrySet()) {
      int runCount = runs.getOrDefault(entry.getKey(), 0);
      Seen seen = entry.getValue();
      ranTwice += !seen.idempotent() && runCount > 1 ? 1 : 0;
      refusedButRan += seen.ending() == Ending.REFUSED_NOT_RUN && runCount > 0 ? 1 : 0;
      doneButNotRun += runsKnown && seen.ending() == Ending.DONE && runCount == 0 ? 1 : 0;
    }
    int lost = doneButNotRun + count(Ending.LATE);
    int unknown = count(Ending.OUTCOME_UNKNOWN) + count(Ending.CONNECTION_LOST);
    int violations = ranTwice + refusedButRan + lost + wrongAnswer;
    int answered = count(Ending.DONE) + count(Ending.ANSWERED_OTHERWISE);
    summary
        .put("accepted", answered + unknown + count(Ending.LATE))
        .put("answered", answered)
        .put("answeredOtherwise", count(Ending.ANSWERED_OTHERWISE))
        .put("refusedNotRun", count(Ending.REFUSED_NOT_RUN))
        .put("outcomeUnknown", unknown)
        .put("connectionLost", count(Ending.CONNECTION_LOST))
        .put("notSent", count(Ending.NOT_SENT))
        .put("ranTwice", ranTwice)
        .put("lost", lost)
        .put("refusedButRan", refusedButRan)
        .put("wrongAnswer", wrongAnswer)
        .put("firstWrongAnswer", firstWrongAnswer)
        .put("violations", violations);
    writeDetails(summary);
    return violations;
  }

  private void writeDetails(ObjectNode summary) {
    ObjectNode byResult = summary.putObject("results");
    results.forEach((number, times) -> byResult.put(Integer.toString(number), times));
    ObjectNode byTeam = summary.putObject("doneByTeam");
    doneByTeam.forEach(byTeam::put);
    writePercentiles(summary.putObject("latencyUs"), answeredUs);
    writePercentiles(summary.putObject("refusalLatencyUs"), refusedUs);
  }

  private static void writePercentiles(ObjectNode node, Histogram histogram) {
    node.put("p50", histogram.getValueAtPercentile(50))
        .put("p90", histogram.getValueAtPercentile(90))
        .put("p99", histogram.getValueAtPercentile(99))
        .put("max", histogram.getMaxValue());
  }
}
