package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.spi.LogRecord;

/** Applies records to a control state one after another, at a virtual log time. */
public final class ControlLogFixture {

  private final ControlStateMachine machine = new ControlStateMachine(TestTexts.CHECKER);
  private long logTimeEpochMs = 1_000_000;
  private ControlState state = ControlState.empty();

  /** Starts with {@link TestTexts#fleet()} as the current configuration text. */
  public static ControlLogFixture withFleet() {
    ControlLogFixture fixture = new ControlLogFixture();
    fixture.accept(TestTexts.change(0, TextSections.empty(), TestTexts.fleet()));
    return fixture;
  }

  public ControlState state() {
    return state;
  }

  public void advance(long ms) {
    logTimeEpochMs += ms;
  }

  /** Applies a record, asserts that it is accepted, and returns its offset. */
  public long accept(RecordBody body) {
    RecordResult result = apply(body);
    assertThat(result.refusal()).isEmpty();
    return result.offset();
  }

  public void refuse(RecordBody body, ResultCode code) {
    ControlState before = state;
    assertThat(apply(body).code()).isEqualTo(code);
    assertThat(state.members()).isSameAs(before.members());
    assertThat(state.allowances()).isSameAs(before.allowances());
    assertThat(state.instances()).isSameAs(before.instances());
    assertThat(state.sections()).isSameAs(before.sections());
    assertThat(state.taskTables()).isSameAs(before.taskTables());
  }

  public RecordResult apply(RecordBody body) {
    return apply(new Envelope("op-" + state.nextOffset(), "author", 0, body));
  }

  RecordResult apply(Envelope envelope) {
    return apply(RecordCodec.encode(envelope).get());
  }

  RecordResult apply(byte[] bytes) {
    LogRecord record = new LogRecord(state.nextOffset(), logTimeEpochMs, bytes);
    ApplyResult applyResult = machine.apply(state, record);
    assertThat(applyResult.state().nextOffset()).isEqualTo(record.offset() + 1);
    state = applyResult.state();
    return applyResult.result();
  }

  public void changeText(TextSections text) {
    accept(TestTexts.change(state.textVersion(), state.sections(), text));
  }

  public long join(String memberId) {
    return accept(new RecordBody.MemberJoined(memberId, "i-" + memberId, "north", "10.0.0.1:1"));
  }

  /** Lets a member acknowledge all records so far. */
  public void acknowledge(String memberId, TransferTotals... totals) {
    accept(new RecordBody.MemberAcknowledged(memberId, state.nextOffset(), List.of(totals)));
  }

  /** Lets members join and enter the counting set. */
  public void joinCounting(String... memberIds) {
    for (String memberId : memberIds) {
      join(memberId);
      state
          .members()
          .values()
          .filter(MemberEntry::isActive)
          .forEach(member -> acknowledge(member.memberId()));
    }
  }

  public void expelSilent(String memberId, String by) {
    accept(new RecordBody.MemberSuspected(memberId, by));
    advance(MemberExpelledValidator.REFUTATION_MS);
    accept(new RecordBody.MemberExpelled(memberId, by, ExpulsionReason.SILENT));
  }

  public MemberEntry member(String memberId) {
    return state.members().get(memberId).get();
  }

  public AllowanceEntry allowance(String team) {
    return state.allowances().get(team).get();
  }

  public void addInstance(String instance, String pool, String dataCentre) {
    accept(new RecordBody.InstanceAdded(instance, pool, dataCentre, "rack", "10.0.0.2:1"));
  }

  public void addWorker(String worker, String dataCentre) {
    accept(new RecordBody.WorkerChanged(worker, dataCentre, new TaskSize(9, 9, 9), true));
  }

  public void acceptTask(String task, String job) {
    accept(
        new RecordBody.TasksAccepted(
            List.of(
                new TaskSpec(
                    task, "red", job, new TaskSize(1, 1, 0), 2, TaskClass.CHECKPOINTABLE))));
  }

  public RecordBody.TasksStarted start(String task, int attempt, String memberId, String worker) {
    return new RecordBody.TasksStarted(
        memberId,
        state.taskTables().membershipOffset(),
        List.of(new TaskStart(task, attempt, worker)));
  }

  public RecordBody.TasksEnded end(String memberId, String task, int attempt, AttemptEnd how) {
    return new RecordBody.TasksEnded(memberId, List.of(new TaskEnd(task, attempt, how)));
  }

  /** Adds a worker in data centre north and starts a new task on it. */
  public void runTask(String task, String memberId, String worker) {
    addWorker(worker, "north");
    acceptTask(task, "job-" + task);
    accept(start(task, 1, memberId, worker));
  }

  public TaskEntry task(String task) {
    return state.taskTables().tasks().get(task).get();
  }
}
