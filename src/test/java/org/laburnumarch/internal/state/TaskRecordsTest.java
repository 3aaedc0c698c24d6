package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class TaskRecordsTest {

  private final History history = History.withFleet();

  @BeforeEach
  void addMembersAndWorkers() {
    history.joinCounting("m1", "m2");
    for (int i = 1; i <= 4; i++) {
      history.addWorker("w" + i, "north");
    }
    history.addWorker("s1", "south");
  }

  private void run(String task, int attempt, String worker, AttemptEnd how) {
    history.accept(history.start(task, attempt, "m1", worker));
    history.accept(history.end("m1", task, attempt, how));
  }

  private WorkerEntry worker(String name) {
    return history.state().taskTables().workers().get(name).get();
  }

  @Nested
  class WhenAnAttemptStarts {

    /** Guards against two owners that both start the same waiting task. */
    @Test
    void shouldAcceptEachAttemptOnce() {
      history.acceptTask("t", "j");
      history.refuse(history.start("t", 2, "m1", "w1"), ResultCode.TASK_ATTEMPT_STALE);
      history.accept(history.start("t", 1, "m1", "w1"));
      history.refuse(history.start("t", 1, "m2", "w2"), ResultCode.TASK_NOT_WAITING);
      history.refuse(history.start("t", 2, "m2", "w2"), ResultCode.TASK_NOT_WAITING);
      history.accept(history.end("m2", "t", 1, AttemptEnd.LOST));
      history.refuse(history.start("t", 1, "m1", "w1"), ResultCode.TASK_ATTEMPT_STALE);
      history.accept(history.start("t", 2, "m2", "w2"));
    }

    /** Guards against a start in a data centre that operators have taken out of service. */
    @Test
    void shouldRefuseAWorkerInADataCentreOutOfService() {
      history.acceptTask("t", "j");
      history.accept(new RecordBody.DataCentreTakenOut("south"));
      history.refuse(history.start("t", 1, "m1", "s1"), ResultCode.DATA_CENTRE_OUT);
      history.accept(new RecordBody.DataCentreReturned("south"));
      history.accept(history.start("t", 1, "m1", "s1"));
    }

    /** Guards against a start by an owner that has not read the latest change of the members. */
    @Test
    void shouldRefuseAnOlderFencingToken() {
      history.acceptTask("t", "j");
      history.acceptTask("u", "j");
      RecordBody old = history.start("t", 1, "m1", "w1");
      history.join("m3");
      history.accept(history.start("u", 1, "m2", "w1"));
      history.refuse(old, ResultCode.OWNER_FENCED);
      history.refuse(
          new RecordBody.TasksStarted("m1", 9_999, List.of(new TaskStart("t", 1, "w1"))),
          ResultCode.OWNER_FENCED);
    }

    /**
     * Guards against a fencing token that changes when a departed member is removed from the table.
     */
    @Test
    void shouldKeepTheFencingTokenWhenADepartedMemberIsReclaimed() {
      history.accept(new RecordBody.MemberLeft("m2"));
      long token = history.state().taskTables().membershipOffset();
      history.acknowledge("m1");
      history.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(history.state().taskTables().membershipOffset()).isEqualTo(token);
      history.acceptTask("t", "j");
      history.refuse(history.start("t", 1, "m2", "w1"), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against one refused part that blocks a whole batch. */
    @Test
    void shouldApplyEachPartOfABatchIndependently() {
      history.acceptTask("t", "j");
      history.acceptTask("u", "j");
      history.accept(new RecordBody.TasksCancelled(List.of("t")));
      history.accept(
          new RecordBody.TasksStarted(
              "m1",
              history.state().taskTables().membershipOffset(),
              List.of(new TaskStart("t", 1, "w1"), new TaskStart("u", 1, "w1"))));
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.CANCELLED);
      assertThat(history.task("u").phase()).isEqualTo(TaskPhase.STARTED);
    }
  }

  @Nested
  class WhenAnAttemptEnds {

    @Test
    void shouldGiveOneFinalResult() {
      history.acceptTask("t", "j");
      run("t", 1, "w1", AttemptEnd.STOPPED);
      run("t", 2, "w1", AttemptEnd.SUCCEEDED);
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.SUCCEEDED);
      history.refuse(history.end("m1", "t", 2, AttemptEnd.FAILED), ResultCode.TASK_NOT_WAITING);
      history.refuse(new RecordBody.TasksCancelled(List.of("t")), ResultCode.NO_CHANGE);
    }

    @Test
    void shouldEndACancelledTaskOnceItHasStopped() {
      history.acceptTask("t", "j");
      history.accept(history.start("t", 1, "m1", "w1"));
      history.accept(new RecordBody.TasksCancelled(List.of("t")));
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.STARTED);
      history.accept(history.end("m1", "t", 1, AttemptEnd.STOPPED));
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.CANCELLED);
    }

    /** Guards against a state that grows with every task that ever ran. */
    @Test
    void shouldKeepABoundedNumberOfFinalResults() {
      int count = TaskTables.MAX_ENDED_TASKS + 5;
      List<String> tasks = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        history.acceptTask("t" + i, "j");
        tasks.add("t" + i);
      }
      history.accept(new RecordBody.TasksCancelled(tasks.subList(0, 2_000)));
      history.accept(new RecordBody.TasksCancelled(tasks.subList(2_000, count)));
      TaskTables tables = history.state().taskTables();
      assertThat(tables.tasks().size()).isEqualTo(TaskTables.MAX_ENDED_TASKS);
      assertThat(tables.openCount()).isZero();
      assertThat(tables.tasks().containsKey("t4")).isFalse();
    }
  }

  @Nested
  class WhenAttemptsFail {

    @Test
    void shouldParkATaskThatFailsOnDistinctWorkers() {
      history.acceptTask("t", "j");
      run("t", 1, "w1", AttemptEnd.FAILED);
      run("t", 2, "w1", AttemptEnd.FAILED);
      run("t", 3, "w2", AttemptEnd.FAILED);
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.WAITING);
      run("t", 4, "w3", AttemptEnd.FAILED);
      assertThat(history.task("t").phase()).isEqualTo(TaskPhase.PARKED);
    }

    /** Guards against a faulty worker on which all tasks fail until they are parked. */
    @Test
    void shouldQuarantineAWorkerAndClearItsFailuresFromTasks() {
      for (String task : List.of("t", "u", "v")) {
        history.acceptTask(task, "job-" + task);
        run(task, 1, "w1", AttemptEnd.FAILED);
      }
      assertThat(worker("w1").isQuarantined()).isTrue();
      assertThat(history.task("t").failedWorkers()).isEmpty();
      history.acceptTask("p", "probe");
      run("p", 1, "w1", AttemptEnd.FAILED);
      assertThat(worker("w1").failedProbes()).isEqualTo(1);
      assertThat(history.task("p").failedWorkers()).isEmpty();
      run("p", 2, "w1", AttemptEnd.SUCCEEDED);
      assertThat(worker("w1").isQuarantined()).isFalse();
    }

    /** Guards against jobs that always fail and would quarantine one worker after another. */
    @Test
    void shouldCountRepeatedFailuresAgainstTheTaskOnly() {
      for (String task : List.of("t", "u", "v")) {
        history.acceptTask(task, "job-" + task);
      }
      run("t", 1, "w1", AttemptEnd.FAILED);
      run("u", 1, "w2", AttemptEnd.FAILED);
      run("v", 1, "w3", AttemptEnd.FAILED);
      for (String task : List.of("t", "u", "v")) {
        run(task, 2, "w4", AttemptEnd.FAILED);
      }
      assertThat(worker("w4").isQuarantined()).isFalse();
    }
  }

  @Nested
  class WhenTheOwnerOfARunningTaskHasLeft {

    /** Guards against units of a running task that are assigned a second time. */
    @Test
    void shouldReassignItsUnitsToTheNextOwner() {
      history.accept(new RecordBody.AllowanceClaimed("m2", List.of(new TeamUnits("red", 10))));
      history.acceptTask("t", "j");
      history.accept(history.start("t", 1, "m2", "w1"));
      history.accept(new RecordBody.MemberLeft("m2"));
      history.acknowledge("m1");
      history.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(history.task("t").unitHolder()).isEqualTo("m1");
      assertThat(history.allowance("red").baseUnits().get("m1").get()).isEqualTo(2);
      assertThat(history.allowance("red").unassignedUnits()).isEqualTo(8);
    }
  }
}
