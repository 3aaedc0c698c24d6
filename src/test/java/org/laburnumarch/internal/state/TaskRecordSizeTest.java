package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against growth of the task records, which would exceed the log's capacity in a busy fleet.
 */
class TaskRecordSizeTest {

  private static final int TASKS = 100;

  private static int bytes(RecordBody body) {
    String operationId = "0".repeat(36);
    return RecordCodec.encode(new Envelope(operationId, "member-0123456789ab", 1, body))
        .get()
        .length;
  }

  @Test
  void shouldUseFewBytesPerTaskInABatch() {
    List<TaskSpec> specs = new ArrayList<>();
    List<TaskStart> starts = new ArrayList<>();
    List<TaskEnd> ends = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      String task = "task-%08x".formatted(i);
      specs.add(
          new TaskSpec(
              task,
              "catalogue",
              "rebuild-index",
              new TaskSize(4_000, 8_192, 1),
              1,
              TaskClass.CHECKPOINTABLE));
      starts.add(new TaskStart(task, 1, "worker-0123"));
      ends.add(new TaskEnd(task, 1, AttemptEnd.SUCCEEDED));
    }
    int acceptedBytes = bytes(new RecordBody.TasksAccepted(specs));
    int startedBytes = bytes(new RecordBody.TasksStarted("member-0123456789ab", 9_999, starts));
    int endedBytes = bytes(new RecordBody.TasksEnded("member-0123456789ab", ends));
    assertThat(List.of(acceptedBytes, startedBytes, endedBytes))
        .as("docs/tasks.md states these sizes")
        .containsExactly(6_417, 2_964, 2_745);
    assertThat(
            bytes(new RecordBody.TasksStarted("member-0123456789ab", 9_999, starts.subList(0, 1))))
        .isEqualTo(190);
  }
}
