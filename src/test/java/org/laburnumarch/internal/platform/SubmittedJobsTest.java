package org.laburnumarch.internal.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Collections;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.job.JobSpec;

class SubmittedJobsTest {

  private static JobSpec decode(String body) throws MalformedMessageException {
    return SubmittedJobs.decode("0123456789abcdef", "queue", "team", body.getBytes(UTF_8), 1_000);
  }

  @Test
  void shouldReadAJobWithDueTimes() throws Exception {
    JobSpec job =
        decode(
            "{\"spec\":\"run\",\"steps\":[{\"count\":3}],\"repeatCount\":6,\"startAtMs\":5000,"
                + "\"periodMs\":4500}");
    assertThat(job.occurrences()).isEqualTo(6);
    assertThat(job.dueEpochMs(2)).isEqualTo(14_000);
  }

  /**
   * Guards against one submission that no owner can hold in memory. It would be stored, end the
   * owner's process, and then that of each of its successors.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"repeatCount\":10001",
        "\"repeatCount\":-1",
        "\"repeatCount\":4294967297",
        "\"repeatCount\":3,\"periodMs\":-1",
        "\"repeatCount\":3,\"periodMs\":9223372036854775807",
        "\"startAtMs\":-5"
      })
  void shouldRejectSchedulesOutOfRange(String fields) {
    assertThatThrownBy(() -> decode("{\"spec\":\"run\",\"steps\":[{\"count\":1}]," + fields + "}"))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("must be from 0 to");
  }

  /** Guards against the same with many steps, each of them within the limit of one step. */
  @Test
  void shouldRejectMoreTasksThanAnOwnerCanHold() {
    String steps = String.join(",", Collections.nCopies(1_000, "{\"count\":10000}"));
    assertThatThrownBy(() -> decode("{\"spec\":\"run\",\"steps\":[" + steps + "]}"))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("submit several jobs");
  }

  /** Guards against a name look-up, which would block the event loop. */
  @Test
  void shouldRejectAnAddressWithAHostName() {
    assertThatThrownBy(() -> Json.address("worker.example:80"))
        .isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> Json.address(":80")).isInstanceOf(MalformedMessageException.class);
  }
}
