package org.laburnumarch.internal.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerReport;

class WorkerMessagesTest {

  private static byte[] bytes(String json) {
    return json.getBytes(UTF_8);
  }

  @Nested
  class OrderReplies {

    /**
     * Guards against a second run of a task: only these replies say that nothing has been done.
     * After any other one, the order may have been executed.
     */
    @ParameterizedTest
    @CsvSource({
      "200, OBEYED",
      "400, REJECTED",
      "421, OTHER_INCARNATION",
      "429, UNHEALTHY",
      "503, UNHEALTHY",
      "204, UNKNOWN",
      "404, UNKNOWN",
      "500, UNKNOWN",
      "502, UNKNOWN",
      "504, UNKNOWN"
    })
    void shouldTakeOnlyKnownRefusalsForRefusals(int status, Outcome outcome) {
      assertThat(WorkerMessages.decodeOrderReply(status, bytes("{}")).outcome()).isEqualTo(outcome);
    }

    /** Guards against a second run of a task whose start was executed and answered unreadably. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"clockMs\":\"7\"}"})
    void shouldTakeASuccessWithAnUnreadableBodyForExecuted(String body) {
      assertThat(WorkerMessages.decodeOrderReply(200, bytes(body)))
          .isEqualTo(new OrderReply(Outcome.OBEYED, -1));
    }

    @Test
    void shouldReadReasonAndClockOfARefusal() {
      assertThat(WorkerMessages.decodeOrderReply(409, bytes("{\"reason\":\"room\",\"clockMs\":7}")))
          .isEqualTo(new OrderReply(Outcome.NO_ROOM, 7));
    }

    @Test
    void shouldNotTakeAnUnreadableRefusalForARefusal() {
      assertThat(WorkerMessages.decodeOrderReply(409, bytes("{\"reason\":")).outcome())
          .isEqualTo(Outcome.UNKNOWN);
    }
  }

  @Nested
  class Reports {

    @Test
    void shouldReadAllRows() throws Exception {
      WorkerReport report =
          WorkerMessages.decodeReport(
              bytes(
                  "{\"clockMs\":5,\"born\":9,\"running\":[[\"a.0.0.0\",2,\"c\",41,8]],"
                      + "\"finished\":[[58,\"a.0.0.1\",1,\"done\",\"\"]]}"));
      assertThat(report)
          .isEqualTo(
              new WorkerReport(
                  5,
                  9,
                  List.of(new RunningTask("a.0.0.0", 2, "c", 41, 8)),
                  List.of(new EndedTask(58, "a.0.0.1", 1, EndKind.DONE, "")),
                  true));
    }

    /** Guards against runs that are started again because a full list leaves out their ends. */
    @ParameterizedTest
    @CsvSource({"499, true", "500, false"})
    void shouldTellWhetherEndsMayBeLeftOut(int ends, boolean listsAllEnds) throws Exception {
      String rows =
          IntStream.rangeClosed(1, ends)
              .mapToObj(number -> "[" + number + ",\"a.0.0." + number + "\",1,\"done\",\"\"]")
              .collect(Collectors.joining(","));
      WorkerReport report =
          WorkerMessages.decodeReport(
              bytes("{\"clockMs\":5,\"born\":9,\"running\":[],\"finished\":[" + rows + "]}"));
      assertThat(report.listsAllEnds()).isEqualTo(listsAllEnds);
    }

    /**
     * Guards against runs that are started again because a malformed report seems not to list them.
     */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "{\"clockMs\":5,\"born\":9,\"finished\":[]}",
          "{\"clockMs\":5,\"born\":9,\"running\":[]}",
          "{\"clockMs\":5,\"running\":{},\"finished\":[]}",
          "{\"clockMs\":5,\"running\":[[\"a.0.0.0\",\"2\",\"\",41]],\"finished\":[]}",
          "{\"clockMs\":5,\"running\":[[\"a.0.0.0\",2.5,\"\",41]],\"finished\":[]}",
          "{\"clockMs\":5,\"running\":[[null,2,\"\",41]],\"finished\":[]}",
          "{\"clockMs\":5,\"running\":[7],\"finished\":[]}",
          "{\"clockMs\":5,\"running\":[],\"finished\":[[1,\"a.0.0.0\",1,\"gone\",\"\"]]}",
          "{\"running\":[],\"finished\":[]}",
          "[]",
          ""
        })
    void shouldRejectAReportWithAnythingUnreadable(String json) {
      assertThatThrownBy(() -> WorkerMessages.decodeReport(bytes(json)))
          .isInstanceOf(MalformedMessageException.class);
    }
  }
}
