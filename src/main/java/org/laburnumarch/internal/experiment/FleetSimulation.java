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
import org.laburnumarch.internal.fleet.FleetEffect;
import org.laburnumarch.internal.fleet.FleetSystem;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.ControlStateMachine;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.Verdict;
import org.laburnumarch.internal.text.FleetTextChecker;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.LogRecord;

/** Daemons that decide on a fleet, over a log and a platform in virtual time. */
public final class FleetSimulation {
  /** Virtual time of one step. */
  public static final long STEP_MS = 200;

  private static final long LIST_MS = 2_000;
  private static final long START_EPOCH_MS = 1_800_000_000_000L;

  /** A daemon; {@code fleet} is replaced when it crashes. */
  private static final class Member {
    private final String memberId;
    private FleetSystem fleet = new FleetSystem();
    private ControlState view = ControlState.empty();

    Member(String memberId) {
      this.memberId = memberId;
    }
  }

  /** A record that is on its way to the log. */
  private record Sent(String author, RecordBody body) {}

  private final ControlStateMachine machine = new ControlStateMachine(new FleetTextChecker());
  private final List<Member> members = new ArrayList<>();
  private final Map<String, RecordBody.InstanceAdded> listed = new TreeMap<>();
  private final SimulatedPools pools;
  private final Deque<Sent> sent = new ArrayDeque<>();
  private ControlState state = ControlState.empty();
  private Consumer<Applied> observer = applied -> {};
  private UnaryOperator<List<ListedInstance>> distortion = list -> list;
  private boolean isCapacityMoved = true;
  private long nowMs;
  private long skippedMs;

  /** A record that was judged. */
  public record Applied(
      ControlState before, ControlState after, RecordBody body, Verdict verdict, int sizeBytes) {}

  /**
   * Creates a fleet.
   *
   * @param memberIds ids of the daemons; the same id twice stands for a daemon that was replaced
   *     while it was paused
   * @param drainMs time that the platform takes to drain an instance
   * @param rebootMs time that the platform takes to reboot it
   */
  public FleetSimulation(
      TextSections text,
      List<RecordBody.InstanceAdded> instances,
      List<String> memberIds,
      long drainMs,
      long rebootMs) {
    pools = new SimulatedPools(drainMs, rebootMs);
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

  /** Adds an instance to the platform and to the tables. */
  public void add(RecordBody.InstanceAdded instance) {
    listed.put(instance.instance(), instance);
    append(instance);
  }

  /** Takes an instance away from the platform; the tables learn of it when it is removed. */
  public void lose(String instance) {
    listed.remove(instance);
  }

  /** Lets the next reboot of an instance fail. */
  public void failReboot(String instance) {
    pools.failReboot(instance);
  }

  /** Lets a daemon forget all that is not in the log. */
  public void crash(int member) {
    members.get(member).fleet = new FleetSystem();
  }

  /** Changes the lists that daemons get from now on. */
  public void distortLists(UnaryOperator<List<ListedInstance>> newDistortion) {
    distortion = newDistortion;
  }

  /** Switches proposed moves off, as a baseline. */
  public void withoutMoves() {
    isCapacityMoved = false;
  }

  /** Hands every judged record to an observer. */
  public void observe(Consumer<Applied> newObserver) {
    observer = newObserver;
  }

  /** Lets calendar time pass without a step. */
  public void skip(long ms) {
    skippedMs += ms;
  }

  /** Appends a record and judges it at once. */
  public Verdict append(RecordBody body) {
    return append("operator", body);
  }

  private Verdict append(String author, RecordBody body) {
    Envelope envelope = new Envelope("op-" + state.nextOffset(), author, epochMs(), body);
    byte[] bytes = RecordCodec.encode(envelope).get();
    ControlState before = state;
    var applied = machine.apply(before, new LogRecord(before.nextOffset(), epochMs(), bytes));
    state = applied.state();
    observer.accept(new Applied(before, state, body, applied.verdict(), bytes.length));
    return applied.verdict();
  }

  /** Lets every daemon decide once, on tables that are up to one step old. */
  public void step() {
    nowMs += STEP_MS;
    int arrivingCount = sent.size();
    for (Member member : members) {
      if (nowMs % LIST_MS == 0) {
        member.fleet.onList(distortion.apply(list()), member.view, nowMs);
      }
      run(member, member.fleet.onTick(member.view, member.memberId, nowMs, epochMs()));
      member.view = state;
    }
    for (int i = 0; i < arrivingCount; i++) {
      Sent arriving = sent.remove();
      append(arriving.author(), arriving.body());
    }
  }

  private void run(Member member, List<FleetEffect> effects) {
    for (FleetEffect effect : effects) {
      if (effect instanceof FleetEffect.Append append) {
        if (isCapacityMoved || !(append.body() instanceof RecordBody.InstanceMoved)) {
          sent.add(new Sent(member.memberId, append.body()));
        }
      } else if (effect instanceof FleetEffect.Drain drain) {
        pools.drain(drain.instance(), nowMs);
      } else if (effect instanceof FleetEffect.Reboot reboot) {
        pools.reboot(reboot.instance(), nowMs);
      } else if (effect instanceof FleetEffect.AskStatus ask) {
        var status = pools.status(ask.instance(), nowMs);
        run(member, member.fleet.onStatus(member.view, ask.instance(), status, nowMs));
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

  /** Returns the tables. */
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
