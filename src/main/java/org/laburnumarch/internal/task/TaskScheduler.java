package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.state.Batches;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.TaskEnd;
import org.laburnumarch.internal.state.TaskStart;
import org.laburnumarch.spi.AttemptId;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/**
 * Decides on tasks for the workers that this daemon owns; one for each member id.
 *
 * <p>The caller has to call {@link #tick} with the newest state that it has applied, and to send
 * the orders at once: an order that is held back loses its lease, not its effect on others.
 */
public final class TaskScheduler {

  /** A worker that was silent for so many exchanges gets no new tasks. */
  private static final int SILENT_EXCHANGES = 3;

  private final String selfId;
  private final TaskTimes times;
  private final LearnedSizes sizes = new LearnedSizes();
  private final WorkerViews views;
  private final UnitBook units;
  private final AttemptEnds attemptEnds;
  private final ImpossibleTasks impossible;
  private final Preemption preemption = new Preemption();
  private final Placement placement;
  private final WorkerOrders orders;
  private final TeamOrder order = new TeamOrder();
  private final Set<AttemptId> pendingStarts = new HashSet<>();
  private TaskIndex index = new TaskIndex(ControlState.empty());
  private boolean isAppending;
  private long verdictOffset = -1;
  private long appendedAtMs = Long.MIN_VALUE / 2;
  private boolean wereEndsLast;

  /** Creates a scheduler of a member that takes units from {@code gate}. */
  public TaskScheduler(String selfId, TaskTimes times, UnitGate gate) {
    this.selfId = selfId;
    this.times = times;
    this.views = new WorkerViews(selfId);
    this.units = new UnitBook(gate);
    this.attemptEnds = new AttemptEnds(times);
    this.impossible = new ImpossibleTasks(selfId);
    this.placement = new Placement(selfId, times, units, preemption);
    this.orders = new WorkerOrders(selfId, times, preemption);
  }

  /** Takes the report of a worker. */
  public void onReport(WorkerReport report, long nowMs) {
    WorkerView view = views.find(report.worker());
    if (view == null) {
      return;
    }
    view.onReport(report, nowMs);
    for (WorkerReport.Running running : report.running()) {
      index
          .tables()
          .tasks()
          .get(running.id().task())
          .forEach(task -> sizes.record(task.spec(), running));
    }
  }

  /**
   * Takes the offset of the record that was appended last, or -1 if it never will be in the log.
   */
  public void onVerdict(long offset) {
    verdictOffset = offset;
    isAppending = false;
  }

  /**
   * Decides; without authority nothing is started, renewed or recorded.
   *
   * @param authorityUntilMs until when this daemon has authority on what it knows now
   */
  public TaskDecisions tick(ControlState state, long authorityUntilMs, long nowMs) {
    if (!index.isOf(state)) {
      index = new TaskIndex(state);
    }
    if (!isAppending && state.nextOffset() > verdictOffset) {
      pendingStarts.clear();
    }
    units.reconcile(state, selfId, pendingStarts);
    orders.forgetOver(index, pendingStarts);
    if (nowMs >= authorityUntilMs || !state.members().get(selfId).exists(MemberEntry::isActive)) {
      return TaskDecisions.NONE;
    }
    views.update(state, nowMs);
    placement.observe(index, nowMs);
    preemption.expire(index, nowMs);
    order.update(index, views, nowMs);
    Optional<RecordBody> append = canAppend(state, nowMs) ? nextRecord(nowMs) : Optional.empty();
    return new TaskDecisions(append, dueOrders(authorityUntilMs, nowMs));
  }

  private boolean canAppend(ControlState state, long nowMs) {
    return !isAppending
        && state.nextOffset() > verdictOffset
        && nowMs - appendedAtMs >= times.appendIntervalMs();
  }

  /** Ends and starts take turns, so that a wave of one does not hold up the other. */
  private Optional<RecordBody> nextRecord(long nowMs) {
    Optional<RecordBody> record =
        wereEndsLast ? starts(nowMs).or(() -> ends(nowMs)) : ends(nowMs).or(() -> starts(nowMs));
    record.ifPresent(
        body -> {
          wereEndsLast = body instanceof RecordBody.TasksEnded;
          isAppending = true;
          appendedAtMs = nowMs;
        });
    return record;
  }

  private Optional<RecordBody> ends(long nowMs) {
    List<TaskEnd> ends = new ArrayList<>(attemptEnds.find(index, views, nowMs));
    ends.addAll(impossible.find(index));
    return ends.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new RecordBody.TasksEnded(
                selfId, ends.subList(0, Math.min(ends.size(), Batches.MAX_PARTS))));
  }

  private Optional<RecordBody> starts(long nowMs) {
    long heardSinceMs = nowMs - SILENT_EXCHANGES * times.exchangeMs();
    Rooms rooms = new Rooms(index, views, sizes, heardSinceMs, nowMs);
    List<TaskStart> starts = placement.starts(index, rooms, order, nowMs);
    if (starts.isEmpty()) {
      return Optional.empty();
    }
    starts.forEach(start -> pendingStarts.add(new AttemptId(start.task(), start.attempt())));
    orders.onStartsAppended(List.copyOf(pendingStarts), views.token());
    return Optional.of(new RecordBody.TasksStarted(selfId, views.token(), starts));
  }

  private Map<String, WorkerOrder> dueOrders(long authorityUntilMs, long nowMs) {
    Map<String, WorkerOrder> due = new HashMap<>();
    for (WorkerView view : views.all()) {
      WorkerOrder written = orders.write(index, view, views.token(), authorityUntilMs);
      if (view.isDue(written, times.exchangeMs(), nowMs)) {
        view.onSent(written, nowMs);
        due.put(view.worker, written);
      }
    }
    return due;
  }
}
