package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.laburnumarch.internal.state.AllowanceEntry;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.spi.WorkerOrder;
import org.laburnumarch.spi.WorkerReport;

/** A simulated daemon: its scheduler, the state that it has read from the log, and its units. */
final class TestDaemon implements UnitLimiter {

  static final long FRESHNESS_LIMIT_MS = 3_000;
  private static final long REPEAT_MS = 2_000;

  final String memberId;
  final long joinedOffset;
  final TaskScheduler scheduler;
  final List<WorkerReport> reports = new ArrayList<>();
  ControlState state = ControlState.empty();
  boolean isDisconnectedFromLog;
  boolean ignoresUnitLimit;
  boolean ignoresAuthority;
  long frozenUntilMs;
  private final Map<String, Integer> usedUnits = new HashMap<>();
  private final Map<String, WorkerOrder> heldOrders = new HashMap<>();
  private byte[] pending;
  private String pendingId = "";
  private long pendingAtMs;
  private long freshAtMs = Long.MIN_VALUE / 2;
  private int operationCount;

  TestDaemon(String memberId, long joinedOffset, TaskTimes times) {
    this.memberId = memberId;
    this.joinedOffset = joinedOffset;
    this.scheduler = new TaskScheduler(memberId, times, this);
  }

  @Override
  public boolean tryAcquire(String team) {
    int heldUnits =
        state
            .allowances()
            .get(team)
            .map(AllowanceEntry::baseUnits)
            .flatMap(base -> base.get(memberId))
            .getOrElse(0);
    if (!ignoresUnitLimit && usedUnits.getOrDefault(team, 0) >= heldUnits) {
      return false;
    }
    adopt(team);
    return true;
  }

  @Override
  public void release(String team) {
    usedUnits.merge(team, -1, Integer::sum);
  }

  @Override
  public void adopt(String team) {
    usedUnits.merge(team, 1, Integer::sum);
  }

  boolean isActive() {
    return state.members().get(memberId).exists(member -> member.isActive());
  }

  boolean isExpelled() {
    return state.nextOffset() > joinedOffset && !isActive();
  }

  /**
   * Reads the log, decides and sends orders. A daemon that freezes before sending sends its orders
   * at its next tick, when it is no longer frozen.
   */
  void tick(TestFleet fleet, long nowMs, boolean freezesBeforeSending) {
    if (!heldOrders.isEmpty()) {
      heldOrders.forEach((worker, order) -> fleet.send(this, worker, order));
      heldOrders.clear();
    }
    if (!isDisconnectedFromLog && !fleet.isLogDown) {
      state = fleet.read(state, id -> onApplied(id));
      freshAtMs = nowMs;
    }
    reports.forEach(report -> scheduler.onReport(report, nowMs));
    reports.clear();
    boolean isOutage =
        fleet.isLogDown && !isDisconnectedFromLog && state.nextOffset() == fleet.log.size();
    long untilMs = (isOutage ? nowMs : freshAtMs) + FRESHNESS_LIMIT_MS;
    TaskDecisions decisions =
        scheduler.tick(state, ignoresAuthority ? Long.MAX_VALUE / 2 : untilMs, nowMs);
    decisions.append().ifPresent(body -> prepare(body, fleet));
    if (pending != null && nowMs >= pendingAtMs && !isDisconnectedFromLog && !fleet.isLogDown) {
      fleet.append(pending);
      pendingAtMs = nowMs + REPEAT_MS;
    }
    Consumer<Map<String, WorkerOrder>> act =
        freezesBeforeSending
            ? heldOrders::putAll
            : orders -> orders.forEach((worker, order) -> fleet.send(this, worker, order));
    act.accept(decisions.orders());
  }

  private void prepare(RecordBody body, TestFleet fleet) {
    pendingId = memberId + "-" + operationCount++;
    pending = RecordCodec.encode(new Envelope(pendingId, memberId, 0, body)).get();
    pendingAtMs = 0;
    fleet.taskRecordBytes += pending.length;
  }

  private void onApplied(String operationId) {
    if (operationId.equals(pendingId)) {
      scheduler.onRecordResult(state.nextOffset() - 1);
      pending = null;
      pendingId = "";
    }
  }
}
