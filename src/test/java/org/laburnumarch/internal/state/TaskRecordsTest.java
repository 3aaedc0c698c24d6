package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;

class TaskRecordsTest {

  private final ControlLogFixture fixture = ControlLogFixture.withFleet();

  @BeforeEach
  void addMembersAndWorkers() {
    fixture.joinCounting("m1", "m2");
    for (int i = 1; i <= 4; i++) {
      fixture.addWorker("w" + i, "north");
    }
    fixture.addWorker("s1", "south");
  }

  private void run(String task, int attempt, String worker, AttemptEnd how) {
    fixture.accept(fixture.start(task, attempt, "m1", worker));
    fixture.accept(fixture.end("m1", task, attempt, how));
  }

  private WorkerEntry worker(String name) {
    return fixture.state().taskTables().workers().get(name).get();
  }

  @Nested
  class WhenAnAttemptStarts {

    /** Guards against two owners that both start the same waiting task. */
    @Test
    void shouldAcceptEachAttemptOnce() {
      fixture.acceptTask("t", "j");
      fixture.refuse(fixture.start("t", 2, "m1", "w1"), ResultCode.TASK_ATTEMPT_STALE);
      fixture.accept(fixture.start("t", 1, "m1", "w1"));
      fixture.refuse(fixture.start("t", 1, "m2", "w2"), ResultCode.TASK_NOT_WAITING);
      fixture.refuse(fixture.start("t", 2, "m2", "w2"), ResultCode.TASK_NOT_WAITING);
      fixture.accept(fixture.end("m2", "t", 1, AttemptEnd.LOST));
      fixture.refuse(fixture.start("t", 1, "m1", "w1"), ResultCode.TASK_ATTEMPT_STALE);
      fixture.accept(fixture.start("t", 2, "m2", "w2"));
    }

    /** Guards against a start in a data centre that operators have taken out of service. */
    @Test
    void shouldRefuseAWorkerInADataCentreOutOfService() {
      fixture.acceptTask("t", "j");
      fixture.accept(new RecordBody.DataCentreTakenOut("south"));
      fixture.refuse(fixture.start("t", 1, "m1", "s1"), ResultCode.DATA_CENTRE_OUT);
      fixture.accept(new RecordBody.DataCentreReturned("south"));
      fixture.accept(fixture.start("t", 1, "m1", "s1"));
    }

    /** Guards against a start by an owner that has not read the latest change of the members. */
    @Test
    void shouldRefuseAnOlderFencingToken() {
      fixture.acceptTask("t", "j");
      fixture.acceptTask("u", "j");
      RecordBody old = fixture.start("t", 1, "m1", "w1");
      fixture.join("m3");
      fixture.accept(fixture.start("u", 1, "m2", "w1"));
      fixture.refuse(old, ResultCode.OWNER_FENCED);
      fixture.refuse(
          new RecordBody.TasksStarted("m1", 9_999, List.of(new TaskStart("t", 1, "w1"))),
          ResultCode.OWNER_FENCED);
    }

    /**
     * Guards against a fencing token that changes when a departed member is removed from the table.
     */
    @Test
    void shouldKeepTheFencingTokenWhenADepartedMemberIsReclaimed() {
      fixture.accept(new RecordBody.MemberLeft("m2"));
      long token = fixture.state().taskTables().membershipOffset();
      fixture.acknowledge("m1");
      fixture.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(fixture.state().taskTables().membershipOffset()).isEqualTo(token);
      fixture.acceptTask("t", "j");
      fixture.refuse(fixture.start("t", 1, "m2", "w1"), ResultCode.MEMBER_UNKNOWN);
    }

    /** Guards against one refused part that blocks a whole batch. */
    @Test
    void shouldApplyEachPartOfABatchIndependently() {
      fixture.acceptTask("t", "j");
      fixture.acceptTask("u", "j");
      fixture.accept(new RecordBody.TasksCancelled(List.of("t")));
      fixture.accept(
          new RecordBody.TasksStarted(
              "m1",
              fixture.state().taskTables().membershipOffset(),
              List.of(new TaskStart("t", 1, "w1"), new TaskStart("u", 1, "w1"))));
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.CANCELLED);
      assertThat(fixture.task("u").phase()).isEqualTo(TaskPhase.STARTED);
    }
  }

  @Nested
  class WhenAnAttemptEnds {

    @Test
    void shouldGiveOneFinalResult() {
      fixture.acceptTask("t", "j");
      run("t", 1, "w1", AttemptEnd.STOPPED);
      run("t", 2, "w1", AttemptEnd.SUCCEEDED);
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.SUCCEEDED);
      fixture.refuse(fixture.end("m1", "t", 2, AttemptEnd.FAILED), ResultCode.TASK_NOT_WAITING);
      fixture.refuse(new RecordBody.TasksCancelled(List.of("t")), ResultCode.NO_CHANGE);
    }

    @Test
    void shouldEndACancelledTaskOnceItHasStopped() {
      fixture.acceptTask("t", "j");
      fixture.accept(fixture.start("t", 1, "m1", "w1"));
      fixture.accept(new RecordBody.TasksCancelled(List.of("t")));
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.STARTED);
      fixture.accept(fixture.end("m1", "t", 1, AttemptEnd.STOPPED));
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.CANCELLED);
    }

    /** Guards against a state that grows with every task that ever ran. */
    @Test
    void shouldKeepABoundedNumberOfFinalResults() {
      int count = TaskTables.MAX_ENDED_TASKS + 5;
      List<String> tasks = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        fixture.acceptTask("t" + i, "j");
        tasks.add("t" + i);
      }
      fixture.accept(new RecordBody.TasksCancelled(tasks.subList(0, 2_000)));
      fixture.accept(new RecordBody.TasksCancelled(tasks.subList(2_000, count)));
      TaskTables tables = fixture.state().taskTables();
      assertThat(tables.tasks().size()).isEqualTo(TaskTables.MAX_ENDED_TASKS);
      assertThat(tables.openCount()).isZero();
      assertThat(tables.tasks().containsKey("t4")).isFalse();
    }
  }

  @Nested
  class WhenAttemptsFail {

    @Test
    void shouldParkATaskThatFailsOnDistinctWorkers() {
      fixture.acceptTask("t", "j");
      run("t", 1, "w1", AttemptEnd.FAILED);
      run("t", 2, "w1", AttemptEnd.FAILED);
      run("t", 3, "w2", AttemptEnd.FAILED);
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.WAITING);
      run("t", 4, "w3", AttemptEnd.FAILED);
      assertThat(fixture.task("t").phase()).isEqualTo(TaskPhase.PARKED);
    }

    /** Guards against a faulty worker on which all tasks fail until they are parked. */
    @Test
    void shouldQuarantineAWorkerAndClearItsFailuresFromTasks() {
      for (String task : List.of("t", "u", "v")) {
        fixture.acceptTask(task, "job-" + task);
        run(task, 1, "w1", AttemptEnd.FAILED);
      }
      assertThat(worker("w1").isQuarantined()).isTrue();
      assertThat(fixture.task("t").failedWorkers()).isEmpty();
      fixture.acceptTask("p", "probe");
      run("p", 1, "w1", AttemptEnd.FAILED);
      assertThat(worker("w1").failedProbes()).isEqualTo(1);
      assertThat(fixture.task("p").failedWorkers()).isEmpty();
      run("p", 2, "w1", AttemptEnd.SUCCEEDED);
      assertThat(worker("w1").isQuarantined()).isFalse();
    }

    /** Guards against jobs that always fail and would quarantine one worker after another. */
    @Test
    void shouldCountRepeatedFailuresAgainstTheTaskOnly() {
      for (String task : List.of("t", "u", "v")) {
        fixture.acceptTask(task, "job-" + task);
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
      fixture.accept(new RecordBody.AllowanceClaimed("m2", List.of(new TeamUnits("red", 10))));
      fixture.acceptTask("t", "j");
      fixture.accept(fixture.start("t", 1, "m2", "w1"));
      fixture.accept(new RecordBody.MemberLeft("m2"));
      fixture.acknowledge("m1");
      fixture.accept(new RecordBody.AllowanceReclaimed(List.of("m2")));
      assertThat(fixture.task("t").unitHolder()).isEqualTo("m1");
      assertThat(fixture.allowance("red").baseUnits().get("m1").get()).isEqualTo(2);
      assertThat(fixture.allowance("red").unassignedUnits()).isEqualTo(8);
    }
  }
}
