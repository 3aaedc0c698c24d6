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
 * Schedules tasks on the workers that this daemon owns. Each member id has one scheduler.
 *
 * <p>The caller must call {@link #tick} with the newest state that it has applied, and must send
 * the returned orders at once. If the lease of an order has expired when the order arrives, the
 * worker ignores its starts and renewals, but still obeys its stops. Not thread-safe.
 */
public final class TaskScheduler {

  /** A worker gets no new tasks after it has not reported for this number of exchange intervals. */
  private static final int MAX_MISSED_EXCHANGES = 3;

  private final String selfId;
  private final TaskTimes times;
  private final JobSizeEstimator sizeEstimator = new JobSizeEstimator();
  private final WorkerViews views;
  private final UnitTracker units;
  private final AttemptEnds attemptEnds;
  private final ImpossibleTasks impossible;
  private final Preemption preemption = new Preemption();
  private final Placement placement;
  private final WorkerOrderFactory orderFactory;
  private final TeamOrder teamOrder = new TeamOrder();
  private final Set<AttemptId> pendingStarts = new HashSet<>();
  private TaskIndex index = new TaskIndex(ControlState.empty());
  private boolean isAppending;
  private long resultOffset = -1;
  private long appendedAtMs = Long.MIN_VALUE / 2;
  private boolean wereEndsAppendedLast;

  /** Creates the scheduler of a member whose tasks acquire their units from {@code limiter}. */
  public TaskScheduler(String selfId, TaskTimes times, UnitLimiter limiter) {
    this.selfId = selfId;
    this.times = times;
    this.views = new WorkerViews(selfId);
    this.units = new UnitTracker(limiter);
    this.attemptEnds = new AttemptEnds(times);
    this.impossible = new ImpossibleTasks(selfId);
    this.placement = new Placement(selfId, times, units, preemption);
    this.orderFactory = new WorkerOrderFactory(selfId, times, preemption);
  }

  /**
   * Updates the view of a worker and the size estimates from its report. A report of a worker that
   * this daemon does not own is ignored.
   */
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
          .forEach(task -> sizeEstimator.record(task.spec(), running));
    }
  }

  /**
   * Records that the result of the last appended record is known, so that the next record can be
   * appended once the state includes {@code offset}.
   *
   * @param offset offset of the record in the log, or -1 if it will never be in the log
   */
  public void onRecordResult(long offset) {
    resultOffset = offset;
    isAppending = false;
  }

  /**
   * Returns the record to append and the orders to send now. Without authority, nothing is started,
   * renewed or recorded.
   *
   * @param authorityUntilMs until when this daemon has authority, judging by what it has read so
   *     far
   */
  public TaskDecisions tick(ControlState state, long authorityUntilMs, long nowMs) {
    if (!index.isIndexOf(state)) {
      index = new TaskIndex(state);
    }
    if (!isAppending && state.nextOffset() > resultOffset) {
      pendingStarts.clear();
    }
    units.reconcile(state, selfId, pendingStarts);
    orderFactory.forgetEnded(index, pendingStarts);
    if (nowMs >= authorityUntilMs || !state.members().get(selfId).exists(MemberEntry::isActive)) {
      return TaskDecisions.NONE;
    }
    views.update(state, nowMs);
    placement.updateWaitingTimes(index, nowMs);
    preemption.expire(index, nowMs);
    teamOrder.update(index, views, nowMs);
    Optional<RecordBody> append = canAppend(state, nowMs) ? nextRecord(nowMs) : Optional.empty();
    return new TaskDecisions(append, dueOrders(authorityUntilMs, nowMs));
  }

  private boolean canAppend(ControlState state, long nowMs) {
    return !isAppending
        && state.nextOffset() > resultOffset
        && nowMs - appendedAtMs >= times.appendIntervalMs();
  }

  /**
   * Alternates between records of ends and of starts, so that many of one do not delay the other.
   */
  private Optional<RecordBody> nextRecord(long nowMs) {
    Optional<RecordBody> record =
        wereEndsAppendedLast
            ? startsRecord(nowMs).or(() -> endsRecord(nowMs))
            : endsRecord(nowMs).or(() -> startsRecord(nowMs));
    record.ifPresent(
        body -> {
          wereEndsAppendedLast = body instanceof RecordBody.TasksEnded;
          isAppending = true;
          appendedAtMs = nowMs;
        });
    return record;
  }

  private Optional<RecordBody> endsRecord(long nowMs) {
    List<TaskEnd> ends = new ArrayList<>(attemptEnds.find(index, views, nowMs));
    ends.addAll(impossible.find(index));
    return ends.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new RecordBody.TasksEnded(
                selfId, ends.subList(0, Math.min(ends.size(), Batches.MAX_PARTS))));
  }

  private Optional<RecordBody> startsRecord(long nowMs) {
    long reportedSinceMs = nowMs - MAX_MISSED_EXCHANGES * times.exchangeIntervalMs();
    FreeCapacity freeCapacity =
        new FreeCapacity(index, views, sizeEstimator, reportedSinceMs, nowMs);
    List<TaskStart> starts = placement.planStarts(index, freeCapacity, teamOrder, nowMs);
    if (starts.isEmpty()) {
      return Optional.empty();
    }
    starts.forEach(start -> pendingStarts.add(new AttemptId(start.task(), start.attempt())));
    orderFactory.onStartsAppended(List.copyOf(pendingStarts), views.fencingToken());
    return Optional.of(new RecordBody.TasksStarted(selfId, views.fencingToken(), starts));
  }

  private Map<String, WorkerOrder> dueOrders(long authorityUntilMs, long nowMs) {
    Map<String, WorkerOrder> due = new HashMap<>();
    for (WorkerView view : views.all()) {
      WorkerOrder order = orderFactory.create(index, view, views.fencingToken(), authorityUntilMs);
      if (view.isDue(order, times.exchangeIntervalMs(), nowMs)) {
        view.onSent(order, nowMs);
        due.put(view.worker, order);
      }
    }
    return due;
  }
}
