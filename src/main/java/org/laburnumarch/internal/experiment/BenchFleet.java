package org.laburnumarch.internal.experiment;

import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.entry.DispatchGate;
import org.laburnumarch.internal.entry.EntryEnvironment;
import org.laburnumarch.internal.entry.KeyCheck;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.KeyEntry;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.MemberStatus;
import org.laburnumarch.internal.text.FleetSpec;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.MaintenanceSpec;
import org.laburnumarch.internal.text.PoolSpec;
import org.laburnumarch.internal.text.QueueSpec;
import org.laburnumarch.internal.text.ServiceSpec;
import org.laburnumarch.internal.text.TeamSpec;
import org.laburnumarch.internal.text.Weighting;
import org.laburnumarch.internal.time.MonotonicClock;

/** A fleet of one entry and one minion that allows every request. */
final class BenchFleet {
  /** Key that the benchmark's callers present. */
  static final String KEY = "lab_bench_0123456789abcdef0123456789abcdef0123456789a";

  private static final int SLOTS = 64;
  private static final String MEMBER = "member";

  private BenchFleet() {}

  static EntryEnvironment environment(int minionPort) {
    ControlState state = state("127.0.0.1:" + minionPort);
    return new EntryEnvironment(
        () -> state,
        new AllowAllGate(),
        List::of,
        Map::of,
        () -> MEMBER,
        () -> 0,
        MonotonicClock.system(),
        System::currentTimeMillis);
  }

  private static ControlState state(String minionAddress) {
    ControlState empty = ControlState.empty();
    InstanceEntry minion =
        new InstanceEntry(
            "minion", "pool", "dc", "rack", minionAddress, InstanceHealth.AVAILABLE, 0);
    MemberEntry member =
        new MemberEntry(MEMBER, "entry", "dc", "", 0, 0, MemberStatus.ACTIVE, true, 0, -1, -1);
    String secret = KEY.substring("lab_bench_".length());
    return new ControlState(
        1,
        1,
        empty.sections(),
        Optional.of(text()),
        TreeMap.of("bench", new KeyEntry("bench", "team", KeyCheck.digestOf(secret), 0, false)),
        empty.dataCentres(),
        TreeMap.of(MEMBER, member),
        empty.allowances(),
        TreeMap.of("minion", minion),
        empty.operations(),
        empty.audit());
  }

  private static FleetText text() {
    return new FleetText(
        new FleetSpec("bench", Weighting.SHARE_CLOSENESS, "spare", 1),
        TreeMap.empty(),
        TreeMap.empty(),
        TreeMap.of("pool", new PoolSpec("pool", SLOTS, SLOTS)),
        TreeMap.of("queue", new QueueSpec("queue", false, 1_000)),
        TreeMap.of("hello", new ServiceSpec("hello", "pool", "queue", TreeSet.empty(), 0, 1)),
        TreeMap.of("team", new TeamSpec("team", 1, 1_000, false)),
        new MaintenanceSpec(false, 21));
  }

  private static final class AllowAllGate implements DispatchGate {
    @Override
    public Optional<Refusal> checkAuthority() {
      return Optional.empty();
    }

    @Override
    public boolean tryAcquire(String team) {
      return true;
    }

    @Override
    public void release(String team) {}
  }
}
