package org.laburnumarch.internal.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.laburnumarch.internal.fleet.FleetAction;
import org.laburnumarch.internal.fleet.FleetController;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.ControlStateMachine;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.RecordResult;
import org.laburnumarch.internal.text.FleetTextChecker;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.LogRecord;

/** Daemons that manage a fleet, with a simulated log and platform in virtual time. */
public final class FleetSimulation {
  /** Virtual duration of one step, in milliseconds. */
  public static final long STEP_MS = 200;

  private static final long LIST_INTERVAL_MS = 2_000;
  private static final long START_EPOCH_MS = 1_800_000_000_000L;

  /** A daemon. A restart replaces its controller, so that only what is in the log remains. */
  private static final class Member {
    private final String memberId;
    private FleetController controller = new FleetController();
    private ControlState knownState = ControlState.empty();

    Member(String memberId) {
      this.memberId = memberId;
    }
  }

  /** A record that is sent but not in the log yet. */
  private record PendingAppend(String author, RecordBody body) {}

  private final ControlStateMachine machine = new ControlStateMachine(new FleetTextChecker());
  private final List<Member> members = new ArrayList<>();
  private final Map<String, RecordBody.InstanceAdded> listed = new TreeMap<>();
  private final SimulatedPoolControl pools;
  private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();
  private ControlState state = ControlState.empty();
  private Consumer<Applied> observer = applied -> {};
  private UnaryOperator<List<ListedInstance>> distortion = list -> list;
  private boolean areMovesEnabled = true;
  private long nowMs;
  private long skippedMs;

  /** A record that was validated, with the states before and after it. */
  public record Applied(
      ControlState before,
      ControlState after,
      RecordBody body,
      RecordResult result,
      int sizeBytes) {}

  /**
   * Creates a fleet.
   *
   * @param memberIds ids of the daemons; two daemons with the same id stand for one that was
   *     replaced while it was paused
   * @param drainMs time that the platform takes to drain an instance
   * @param rebootMs time that the platform takes to reboot it
   */
  public FleetSimulation(
      TextSections text,
      List<RecordBody.InstanceAdded> instances,
      List<String> memberIds,
      long drainMs,
      long rebootMs) {
    pools = new SimulatedPoolControl(drainMs, rebootMs);
    append(
        new RecordBody.ConfigChanged(
            0, SectionPatch.between(TextSections.empty(), text), text.digest()));
    instances.forEach(this::add);
    Set<String> joined = new HashSet<>();
    for (String memberId : memberIds) {
      if (joined.add(memberId)) {
        String dataCentre = state.dataCentres().head()._1;
        append(
            new RecordBody.MemberJoined(memberId, "entry-" + memberId, dataCentre, "10.0.0.1:1"));
      }
      members.add(new Member(memberId));
    }
  }

  /** Adds an instance to the platform and to the control state. */
  public void add(RecordBody.InstanceAdded instance) {
    listed.put(instance.instance(), instance);
    append(instance);
  }

  /**
   * Removes an instance from the platform. The control state keeps it until a daemon removes it.
   */
  public void removeFromPlatform(String instance) {
    listed.remove(instance);
  }

  /** Makes the next reboot of an instance fail. */
  public void failReboot(String instance) {
    pools.failReboot(instance);
  }

  /**
   * Restarts a daemon, which loses everything that is not in the log.
   *
   * @param member index of the daemon
   */
  public void restartDaemon(int member) {
    members.get(member).controller = new FleetController();
  }

  /** Sets a function that alters the instance lists which daemons get from now on. */
  public void distortLists(UnaryOperator<List<ListedInstance>> newDistortion) {
    distortion = newDistortion;
  }

  /** Discards all proposed moves from now on, as a baseline. */
  public void disableMoves() {
    areMovesEnabled = false;
  }

  /** Calls an observer with every validated record. */
  public void observe(Consumer<Applied> newObserver) {
    observer = newObserver;
  }

  /** Advances the wall clock without a step. */
  public void skipTime(long ms) {
    skippedMs += ms;
  }

  /** Appends a record, validates it at once and returns the result. */
  public RecordResult append(RecordBody body) {
    return append("operator", body);
  }

  private RecordResult append(String author, RecordBody body) {
    Envelope envelope = new Envelope("op-" + state.nextOffset(), author, epochMs(), body);
    byte[] bytes = RecordCodec.encode(envelope).get();
    ControlState before = state;
    var applyResult = machine.apply(before, new LogRecord(before.nextOffset(), epochMs(), bytes));
    state = applyResult.state();
    observer.accept(new Applied(before, state, body, applyResult.result(), bytes.length));
    return applyResult.result();
  }

  /**
   * Runs one tick of every daemon on a state that may be one step old, and appends the records that
   * were sent in the previous step.
   */
  public void step() {
    nowMs += STEP_MS;
    int arrivingCount = pendingAppends.size();
    for (Member member : members) {
      if (nowMs % LIST_INTERVAL_MS == 0) {
        member.controller.onList(distortion.apply(list()), member.knownState, nowMs);
      }
      run(member, member.controller.onTick(member.knownState, member.memberId, nowMs, epochMs()));
      member.knownState = state;
    }
    for (int i = 0; i < arrivingCount; i++) {
      PendingAppend arriving = pendingAppends.remove();
      append(arriving.author(), arriving.body());
    }
  }

  private void run(Member member, List<FleetAction> actions) {
    for (FleetAction action : actions) {
      if (action instanceof FleetAction.Append append) {
        if (areMovesEnabled || !(append.body() instanceof RecordBody.InstanceMoved)) {
          pendingAppends.add(new PendingAppend(member.memberId, append.body()));
        }
      } else if (action instanceof FleetAction.Drain drain) {
        pools.drain(drain.instance(), nowMs);
      } else if (action instanceof FleetAction.Reboot reboot) {
        pools.reboot(reboot.instance(), nowMs);
      } else if (action instanceof FleetAction.QueryStatus query) {
        var status = pools.status(query.instance(), nowMs);
        run(member, member.controller.onStatus(member.knownState, query.instance(), status, nowMs));
      }
    }
  }

  private List<ListedInstance> list() {
    List<ListedInstance> list = new ArrayList<>();
    for (RecordBody.InstanceAdded instance : listed.values()) {
      list.add(
          new ListedInstance(
              instance.instance(),
              ListedInstance.Kind.MINION,
              instance.dataCentre(),
              instance.rack(),
              instance.address(),
              instance.pool(),
              ListedInstance.State.LIVE));
    }
    return list;
  }

  /** Returns the state after the whole log. */
  public ControlState state() {
    return state;
  }

  /** Returns the virtual time that has passed, in milliseconds, without skipped time. */
  public long nowMs() {
    return nowMs;
  }

  /** Returns the virtual wall clock. */
  public long epochMs() {
    return START_EPOCH_MS + skippedMs + nowMs;
  }
}
