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

/** Records how each request ended for its caller and compares this with the runs on the minions. */
final class LoadResults {

  private static final long MAX_LATENCY_US = 120_000_000;

  /** The outcome of a request for its caller. */
  enum CallerOutcome {
    DONE,
    ANSWERED_OTHERWISE,
    REFUSED_NOT_RUN,
    OUTCOME_UNKNOWN,
    CONNECTION_LOST,
    NOT_SENT,
    LATE
  }

  /** The outcome of one request, and whether the request is idempotent. */
  private record RecordedRequest(CallerOutcome outcome, boolean idempotent) {}

  private final Map<String, RecordedRequest> requests = new HashMap<>();
  private final Map<CallerOutcome, Integer> requestsByOutcome = new HashMap<>();
  private final Map<Integer, Integer> requestsByResult = new TreeMap<>();
  private final Map<String, Integer> doneByTeam = new TreeMap<>();
  private final Histogram responseUs = new Histogram(MAX_LATENCY_US, 3);
  private final Histogram refusedUs = new Histogram(MAX_LATENCY_US, 3);
  private int wrongAnswer;
  private String firstWrongAnswer = "";

  /** Records the end of a request and returns its outcome. */
  synchronized CallerOutcome recordEnd(
      String id, String team, boolean idempotent, Reply reply, long latencyUs) {
    CallerOutcome outcome = outcomeOf(reply);
    requests.put(id, new RecordedRequest(outcome, idempotent));
    requestsByOutcome.merge(outcome, 1, Integer::sum);
    requestsByResult.merge(reply.resultNumber(), 1, Integer::sum);
    if (outcome == CallerOutcome.DONE) {
      doneByTeam.merge(team, 1, Integer::sum);
      responseUs.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
      if (!reply.body().contains("\"requestId\":\"" + id + "\"")) {
        wrongAnswer++;
        firstWrongAnswer = id + " got " + reply.body();
      }
    } else if (outcome == CallerOutcome.REFUSED_NOT_RUN) {
      refusedUs.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
    }
    return outcome;
  }

  private static CallerOutcome outcomeOf(Reply reply) {
    if (reply.kind() != Kind.ANSWERED) {
      return switch (reply.kind()) {
        case NOT_SENT -> CallerOutcome.NOT_SENT;
        case CONNECTION_LOST -> CallerOutcome.CONNECTION_LOST;
        default -> CallerOutcome.LATE;
      };
    }
    if (reply.resultNumber() == 0 || reply.resultNumber() == ResultCode.OK.number()) {
      return reply.status() / 100 == 2 ? CallerOutcome.DONE : CallerOutcome.ANSWERED_OTHERWISE;
    }
    Outcome codeOutcome = codeOutcomeOf(reply.resultNumber());
    return codeOutcome == Outcome.NOT_RUN || codeOutcome == Outcome.INVALID
        ? CallerOutcome.REFUSED_NOT_RUN
        : CallerOutcome.OUTCOME_UNKNOWN;
  }

  private static Outcome codeOutcomeOf(int number) {
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == number) {
        return code.outcome();
      }
    }
    return Outcome.UNKNOWN;
  }

  private int count(CallerOutcome outcome) {
    return requestsByOutcome.getOrDefault(outcome, 0);
  }

  /**
   * Compares the outcomes with the runs and writes the summary.
   *
   * @param runs number of runs by request id, over all minions
   * @param runsKnown whether all minions reported their runs; otherwise a response without a run is
   *     no violation
   * @return the number of violations
   */
  synchronized int summarise(Map<String, Integer> runs, boolean runsKnown, ObjectNode summary) {
    int ranTwice = 0;
    int refusedButRan = 0;
    int doneButNotRun = 0;
    for (Map.Entry<String, RecordedRequest> entry : requests.entrySet()) {
      int runCount = runs.getOrDefault(entry.getKey(), 0);
      RecordedRequest recorded = entry.getValue();
      ranTwice += !recorded.idempotent() && runCount > 1 ? 1 : 0;
      refusedButRan += recorded.outcome() == CallerOutcome.REFUSED_NOT_RUN && runCount > 0 ? 1 : 0;
      doneButNotRun +=
          runsKnown && recorded.outcome() == CallerOutcome.DONE && runCount == 0 ? 1 : 0;
    }
    int lost = doneButNotRun + count(CallerOutcome.LATE);
    int unknown = count(CallerOutcome.OUTCOME_UNKNOWN) + count(CallerOutcome.CONNECTION_LOST);
    int violations = ranTwice + refusedButRan + lost + wrongAnswer;
    int answered = count(CallerOutcome.DONE) + count(CallerOutcome.ANSWERED_OTHERWISE);
    summary
        .put("accepted", answered + unknown + count(CallerOutcome.LATE))
        .put("answered", answered)
        .put("answeredOtherwise", count(CallerOutcome.ANSWERED_OTHERWISE))
        .put("refusedNotRun", count(CallerOutcome.REFUSED_NOT_RUN))
        .put("outcomeUnknown", unknown)
        .put("connectionLost", count(CallerOutcome.CONNECTION_LOST))
        .put("notSent", count(CallerOutcome.NOT_SENT))
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
    requestsByResult.forEach((number, count) -> byResult.put(Integer.toString(number), count));
    ObjectNode byTeam = summary.putObject("doneByTeam");
    doneByTeam.forEach(byTeam::put);
    writePercentiles(summary.putObject("latencyUs"), responseUs);
    writePercentiles(summary.putObject("refusalLatencyUs"), refusedUs);
  }

  private static void writePercentiles(ObjectNode node, Histogram histogram) {
    node.put("p50", histogram.getValueAtPercentile(50))
        .put("p90", histogram.getValueAtPercentile(90))
        .put("p99", histogram.getValueAtPercentile(99))
        .put("max", histogram.getMaxValue());
  }
}
