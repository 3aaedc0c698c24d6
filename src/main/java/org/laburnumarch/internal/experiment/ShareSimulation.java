package org.laburnumarch.internal.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.routing.MinionSlots;

/** Simulates the daemons, minions and callers of one pool in virtual time. */
final class ShareSimulation {
  private static final long NETWORK_LATENCY_MS = 1;
  private static final long GOSSIP_INTERVAL_MS = 1_000;
  private static final int GOSSIP_FANOUT = 3;

  private final ShareScenario scenario;
  private final UniformRandomProvider random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<SimDaemon> daemons = new ArrayList<>();
  private final List<SimMinion> minions = new ArrayList<>();
  private final List<BurstyDemand> demands = new ArrayList<>();
  private final FairnessMeter meter;
  private long nowMs;
  private long eventCount;
  private int gossipRound;

  ShareSimulation(ShareScenario scenario, boolean isBaseline, long seed) {
    this.scenario = scenario;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.meter = new FairnessMeter(scenario.shares(), scenario.capacity());
    List<MinionSlots> minionSlots = new ArrayList<>();
    for (int i = 0; i < scenario.minionCount(); i++) {
      minions.add(new SimMinion(scenario.slotsPerMinion()));
      minionSlots.add(new MinionSlots("minion-" + i, scenario.slotsPerMinion()));
    }
    for (int i = 0; i < scenario.daemonCount(); i++) {
      daemons.add(
          isBaseline
              ? new SimDaemon.FirstComeFirstServed(i, scenario, minionSlots)
              : new SimDaemon.FairByShare(i, scenario, minionSlots));
    }
    for (double share : scenario.shares()) {
      double meanPerMs = scenario.load() * share * scenario.capacity() / scenario.meanServiceMs();
      demands.add(new BurstyDemand(random, meanPerMs, scenario.meanServiceMs()));
    }
  }

  FairnessMeter.Result run() {
    for (int team = 0; team < demands.size(); team++) {
      scheduleArrival(team);
    }
    schedule(GOSSIP_INTERVAL_MS, this::gossip);
    schedule(FairnessMeter.SAMPLE_MS, this::sample);
    while (!events.isEmpty() && events.peek().atMs() <= scenario.durationMs()) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    return meter.result();
  }

  private void scheduleArrival(int team) {
    schedule(
        demands.get(team).nextArrivalMs(),
        () -> {
          SimDaemon daemon = daemons.get(random.nextInt(daemons.size()));
          daemon.offer(new SimRequest(team, demands.get(team).serviceMs(), daemon), nowMs);
          dispatch(daemon);
          scheduleArrival(team);
        });
  }

  private void dispatch(SimDaemon daemon) {
    for (SimRequest request = daemon.next(nowMs); request != null; request = daemon.next(nowMs)) {
      SimRequest started = request;
      schedule(nowMs + NETWORK_LATENCY_MS, () -> arriveAtMinion(started));
    }
  }

  private void arriveAtMinion(SimRequest request) {
    SimMinion minion = minions.get(request.minion());
    if (minion.tryStart(request)) {
      schedule(nowMs + request.serviceMs(), () -> endAtMinion(request));
    }
  }

  private void endAtMinion(SimRequest request) {
    SimRequest next = minions.get(request.minion()).end();
    if (next != null) {
      schedule(nowMs + next.serviceMs(), () -> endAtMinion(next));
    }
    schedule(
        nowMs + NETWORK_LATENCY_MS,
        () -> {
          request.daemon().finish(request, nowMs);
          dispatch(request.daemon());
        });
  }

  /**
   * Each daemon exchanges its demand with some others in rotation, like the messages between peers.
   */
  private void gossip() {
    gossipRound++;
    int count = daemons.size();
    daemons.forEach(SimDaemon::updateReportedDemand);
    for (int i = 0; i < count; i++) {
      for (int k = 0; k < GOSSIP_FANOUT; k++) {
        int step = 1 + (gossipRound * GOSSIP_FANOUT + k) % (count - 1);
        SimDaemon one = daemons.get(i);
        SimDaemon other = daemons.get((i + step) % count);
        one.receiveDemand(other);
        other.receiveDemand(one);
      }
    }
    for (SimDaemon daemon : daemons) {
      daemon.replan();
      dispatch(daemon);
    }
    schedule(nowMs + GOSSIP_INTERVAL_MS, this::gossip);
  }

  private void sample() {
    int teams = scenario.shares().length;
    int[] running = new int[teams];
    int[] queued = new int[teams];
    for (SimDaemon daemon : daemons) {
      daemon.expire(nowMs);
      for (int team = 0; team < teams; team++) {
        running[team] += daemon.running(team);
        queued[team] += daemon.queued(team);
      }
    }
    int busy = minions.stream().mapToInt(SimMinion::busy).sum();
    if (nowMs >= scenario.warmUpMs()) {
      meter.sample(running, queued, busy);
    }
    schedule(nowMs + FairnessMeter.SAMPLE_MS, this::sample);
  }

  private void schedule(long atMs, Runnable action) {
    events.add(new Event(atMs, eventCount++, action));
  }

  private record Event(long atMs, long order, Runnable action) {}

  /** A minion that queues requests while all its slots are busy. */
  private static final class SimMinion {
    private final int slots;
    private final ArrayDeque<SimRequest> waiting = new ArrayDeque<>();
    private int busy;

    SimMinion(int slots) {
      this.slots = slots;
    }

    int busy() {
      return busy;
    }

    boolean tryStart(SimRequest request) {
      boolean isFree = busy < slots;
      if (isFree) {
        busy++;
      } else {
        waiting.addLast(request);
      }
      return isFree;
    }

    /** Ends a request and returns the waiting one that gets its slot, or null if there is none. */
    SimRequest end() {
      SimRequest next = waiting.pollFirst();
      busy -= next == null ? 1 : 0;
      return next;
    }
  }

  /** Returns the names of {@code count} daemons. */
  static List<String> daemonNames(int count) {
    return IntStream.range(0, count).mapToObj(i -> "daemon-" + i).toList();
  }
}
