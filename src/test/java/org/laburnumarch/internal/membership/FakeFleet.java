package org.laburnumarch.internal.membership;

import io.vavr.collection.Seq;
import io.vavr.collection.SortedMap;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransfer;
import org.laburnumarch.internal.state.ApplyResult;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.ControlStateMachine;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.ConfigChanged;
import org.laburnumarch.internal.text.FleetSpec;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.MaintenanceSpec;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TeamSpec;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.internal.text.Weighting;
import org.laburnumarch.spi.LogRecord;

/**
 * Simulates daemons, a log, a network and an instance list in virtual time, and checks the
 * invariants at each step.
 */
final class FakeFleet {
  static final long TICK_MS = 50;

  /** Defects that tests inject to verify that the invariant checks detect them. */
  static final class InjectedDefects {
    Safeguards safeguards = Safeguards.ALL;
    boolean addsRepeatedTransfers;
    boolean debitsOnConfirmation;
    boolean countsJoinsAtOnce;
  }

  /** A record in the log. */
  record LogEntry(String operationId, long appendedAtMs, RecordBody body) {}

  /** A limit and the offset of the record that set it. */
  private static final class Limit {
    final int units;
    final long offset;

    Limit(int units, long offset) {
      this.units = units;
      this.offset = offset;
    }
  }

  final VirtualTime time = new VirtualTime();
  final UniformRandomProvider random;
  final InjectedDefects defects;
  final List<FakeDaemon> daemons = new ArrayList<>();
  final List<LogEntry> log = new ArrayList<>();
  final Set<String> cuts = new HashSet<>();
  final Map<String, Long> killedAtMs = new HashMap<>();
  final TreeMap<String, List<Limit>> limits = new TreeMap<>();
  final TreeMap<String, Integer> running = new TreeMap<>();
  final Map<String, Long> messages = new TreeMap<>();
  private final Map<String, Long> countedUnits = new HashMap<>();

  /** States by next offset. */
  final List<ControlState> states = new ArrayList<>(List.of(ControlState.empty()));

  /** When each record came into force; {@code Long.MAX_VALUE} if not yet. */
  private final List<Long> inForceAtMs = new ArrayList<>();

  private final ControlStateMachine machine = new ControlStateMachine(this::parseTeams);
  final TreeMap<String, Integer> results = new TreeMap<>();
  int maxSeats = 12;
  boolean isLogDown;
  boolean isLoadOffered = true;
  long logDelayMs = 5;
  long listLagMs = 5_000;
  double lossFraction = 0.01;
  double responseLossFraction = 0.05;
  Consumer<PeerMessage> onSent = message -> {};
  int dispatches;
  String violation = "";

  FakeFleet(long seed, InjectedDefects defects) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defects = defects;
  }

  FakeDaemon start(int dataCentre) {
    FakeDaemon daemon = new FakeDaemon(this, "i" + daemons.size(), "dc" + dataCentre);
    daemons.add(daemon);
    daemon.boot();
    return daemon;
  }

  List<FakeDaemon> alive() {
    return daemons.stream().filter(d -> d.isAlive).toList();
  }

  // Log

  boolean isLogCut(FakeDaemon daemon) {
    return isLogDown || cuts.contains(daemon.instance + ">log");
  }

  void append(String operationId, RecordBody body) {
    int offset = log.size();
    log.add(new LogEntry(operationId, time.nowMs(), body));
    ControlState before = states.get(offset);
    Envelope envelope = new Envelope(operationId, "test", 0, body);
    LogRecord record = new LogRecord(offset, time.nowMs(), new byte[0]);
    ApplyResult applyResult = machine.apply(before, record, Either.right(envelope));
    results.merge(
        body.getClass().getSimpleName() + " " + applyResult.result().code(), 1, Integer::sum);
    ControlState after = applyResult.state();
    states.add(defects.countsJoinsAtOnce ? allCounting(after) : after);
    inForceAtMs.add(Long.MAX_VALUE);
    if (body instanceof ConfigChanged) {
      recordLimits(offset);
    }
    updateInForce();
    daemons.forEach(FakeDaemon::onAppended);
  }

  private static ControlState allCounting(ControlState s) {
    return s.withMembers(s.members().mapValues(m -> m.isActive() ? m.withCounting(true) : m));
  }

  void setLimit(String team, int units) {
    ControlState tail = states.get(log.size());
    var section = Map.of("team " + team, Map.of("upper-limit", "" + units));
    SectionPatch patch = new SectionPatch(section, List.of());
    String digest = tail.sections().apply(patch).digest();
    append(newId(), new ConfigChanged(tail.textVersion(), patch, digest));
  }

  /** Parses only the team sections, as these tests use no others. */
  private Either<Seq<Refusal>, FleetText> parseTeams(TextSections sections) {
    SortedMap<String, TeamSpec> teams = io.vavr.collection.TreeMap.empty();
    for (var section : sections.sections()) {
      String name = section._1.substring("team ".length());
      int limit = Integer.parseInt(section._2.get("upper-limit").get());
      teams = teams.put(name, new TeamSpec(name, 0.1, limit, false));
    }
    FleetSpec fleet = new FleetSpec("test", Weighting.SHARE_CLOSENESS, "spare", maxSeats);
    return Either.right(
        new FleetText(
            fleet,
            io.vavr.collection.TreeMap.empty(),
            io.vavr.collection.TreeMap.empty(),
            io.vavr.collection.TreeMap.empty(),
            io.vavr.collection.TreeMap.empty(),
            io.vavr.collection.TreeMap.empty(),
            teams,
            new MaintenanceSpec(false, 21)));
  }

  String newId() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }

  private void recordLimits(int offset) {
    states
        .get(offset + 1)
        .allowances()
        .values()
        .forEach(
            a -> {
              List<Limit> known = limits.computeIfAbsent(a.team(), t -> new ArrayList<>());
              if (known.isEmpty() || known.get(known.size() - 1).units != a.limitUnits()) {
                known.add(new Limit(a.limitUnits(), offset));
              }
            });
  }

  // Invariants

  /**
   * Records which log records are in force. A record is in force when the live counting members
   * that have not applied it are no majority. A daemon may act on a state without the record for
   * another FRESHNESS_LIMIT_MS.
   */
  void updateInForce() {
    for (int offset = log.size() - 1; offset >= 0; offset--) {
      if (inForceAtMs.get(offset) != Long.MAX_VALUE) {
        return;
      }
      long recordOffset = offset;
      var counting = states.get(offset).members().values().filter(MemberEntry::isCounting);
      long unreadCount =
          alive().stream()
              .filter(d -> d.state.nextOffset() <= recordOffset)
              .filter(d -> counting.exists(m -> m.memberId().equals(d.memberId())))
              .count();
      if (unreadCount * 2 <= counting.size()) {
        for (int i = offset; i >= 0 && inForceAtMs.get(i) == Long.MAX_VALUE; i--) {
          inForceAtMs.set(i, time.nowMs());
        }
        return;
      }
    }
  }

  void onDispatched(FakeDaemon daemon, String team) {
    dispatches++;
    int offset = (int) daemon.state.nextOffset();
    if (offset < log.size()
        && time.nowMs() - MemberTimes.FRESHNESS_LIMIT_MS > inForceAtMs.get(offset)) {
      fail(daemon + " dispatched without record " + offset + " " + log.get(offset).body());
    }
    int units = running.merge(team, 1, Integer::sum);
    if (units > allowedUnits(team)) {
      fail(units + " units of " + team + " run, " + allowedUnits(team) + " allowed");
    }
  }

  private int allowedUnits(String team) {
    int maxUnits = 0;
    List<Limit> known = limits.get(team);
    for (int i = 0; i < known.size(); i++) {
      boolean isLast = i + 1 == known.size();
      if (isLast || isRecent(inForceAtMs.get((int) known.get(i + 1).offset))) {
        maxUnits = Math.max(maxUnits, known.get(i).units);
      }
    }
    return maxUnits;
  }

  private boolean isRecent(long supersededAtMs) {
    return supersededAtMs == Long.MAX_VALUE
        || time.nowMs() - supersededAtMs <= MemberTimes.RECLAIM_WAIT_MS;
  }

  void fail(String what) {
    if (violation.isEmpty()) {
      violation = "at " + time.nowMs() + " ms: " + what;
    }
  }

  void onBreach(FakeDaemon daemon, MembershipEffect.InvariantBreached breach) {
    if (breach.refusal().code().outcome() == Outcome.BREACH) {
      fail(daemon + " " + breach.refusal());
    }
  }

  // Network

  void send(FakeDaemon from, String toMemberId, PeerMessage message) {
    String fromMemberId = from.memberId();
    messages.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    onSent.accept(message);
    FakeDaemon to =
        alive().stream().filter(d -> d.memberId().equals(toMemberId)).findFirst().orElse(null);
    if (to == null || cuts.contains(from.instance + ">" + to.instance)) {
      return;
    }
    int copies =
        random.nextDouble() < lossFraction ? 0 : random.nextDouble() < lossFraction ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delayMs = 1L + random.nextInt(random.nextInt(200) == 0 ? 2_000 : 3);
      time.after(
          delayMs,
          () -> {
            if (!cuts.contains(from.instance + ">" + to.instance)) {
              to.receive(fromMemberId, toMemberId, delivered(fromMemberId, toMemberId, message));
            }
          });
    }
  }

  /** Makes each duplicate of a transfer add its units again, as without cumulative counters. */
  private PeerMessage delivered(String from, String to, PeerMessage message) {
    if (!defects.addsRepeatedTransfers || !(message instanceof AllowanceTransfer transfer)) {
      return message;
    }
    String key = from + to + transfer.team() + transfer.epoch();
    long total = countedUnits.merge(key, transfer.cumulativeUnits(), (a, b) -> Math.max(a + 1, b));
    return new AllowanceTransfer(transfer.team(), transfer.epoch(), total);
  }

  Set<String> reportedInstances() {
    Set<String> reported = new HashSet<>();
    for (FakeDaemon d : daemons) {
      if (time.nowMs() < killedAtMs.getOrDefault(d.instance, Long.MAX_VALUE / 2) + listLagMs) {
        reported.add(d.instance);
      }
    }
    return reported;
  }
}
