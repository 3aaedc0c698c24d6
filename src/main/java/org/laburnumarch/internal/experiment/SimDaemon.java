package org.laburnumarch.internal.experiment;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.laburnumarch.internal.queue.PoolQueue;
import org.laburnumarch.internal.queue.QueuedRequest;
import org.laburnumarch.internal.queue.TeamWeight;
import org.laburnumarch.internal.routing.MinionSlots;
import org.laburnumarch.internal.routing.SlotPlanner;

/** A simulated daemon with a scheduling policy. */
abstract class SimDaemon {
  final int index;
  final ShareScenario scenario;
  final List<MinionSlots> minionSlots;
  private final int[] running;
  private final int[] queued;
  private final int[] outstanding;
  private int[] slots;

  SimDaemon(int index, ShareScenario scenario, List<MinionSlots> minionSlots) {
    this.index = index;
    this.scenario = scenario;
    this.minionSlots = minionSlots;
    this.running = new int[scenario.shares().length];
    this.queued = new int[scenario.shares().length];
    this.outstanding = new int[minionSlots.size()];
    this.slots = new int[minionSlots.size()];
  }

  int running(int team) {
    return running[team];
  }

  int queued(int team) {
    return queued[team];
  }

  void adjustCounts(int team, int queuedChange, int runningChange) {
    queued[team] += queuedChange;
    running[team] += runningChange;
  }

  int demand() {
    int sum = 0;
    for (int team = 0; team < running.length; team++) {
      sum += running[team] + queued[team];
    }
    return sum;
  }

  void assignSlots(int[] newSlots) {
    slots = newSlots;
  }

  /**
   * Returns the minion with the fewest outstanding requests of those with a free slot of this
   * daemon, or -1.
   */
  int chooseMinion() {
    int best = -1;
    for (int minion = 0; minion < slots.length; minion++) {
      boolean isFree = outstanding[minion] < slots[minion];
      if (isFree && (best < 0 || outstanding[minion] < outstanding[best])) {
        best = minion;
      }
    }
    return best;
  }

  /** Starts and returns the next request; returns null if none waits or no slot is free. */
  SimRequest next(long nowMs) {
    int minion = chooseMinion();
    SimRequest request = minion < 0 ? null : poll(nowMs);
    if (request != null) {
      outstanding[minion]++;
      adjustCounts(request.team(), -1, 1);
      request.start(minion, nowMs);
    }
    return request;
  }

  void finish(SimRequest request, long nowMs) {
    outstanding[request.minion()]--;
    adjustCounts(request.team(), 0, -1);
    onFinished(request, nowMs);
  }

  abstract void offer(SimRequest request, long nowMs);

  abstract SimRequest poll(long nowMs);

  abstract void onFinished(SimRequest request, long nowMs);

  abstract void expire(long nowMs);

  /** Sets the demand that is sent to other daemons to the present demand. */
  abstract void updateReportedDemand();

  abstract void receiveDemand(SimDaemon other);

  abstract void replan();

  /** The policy under test: fair queueing, and slots assigned by demand. */
  static final class FairByShare extends SimDaemon {
    private final PoolQueue<SimRequest> queue = new PoolQueue<>();
    private final SlotPlanner planner = new SlotPlanner();
    private final Map<Integer, Integer> demandByDaemon = new HashMap<>();
    private int reportedDemand;

    FairByShare(int index, ShareScenario scenario, List<MinionSlots> minionSlots) {
      super(index, scenario, minionSlots);
      replan();
    }

    @Override
    void offer(SimRequest request, long nowMs) {
      double share = scenario.shares()[request.team()];
      TeamWeight weight = new TeamWeight("team-" + request.team(), share, false);
      queue
          .offer(request, weight, scenario.maxQueued(), nowMs + scenario.deadlineMs(), nowMs)
          .peek(
              queued -> {
                request.setQueued(queued);
                adjustCounts(request.team(), 1, 0);
              });
    }

    @Override
    SimRequest poll(long nowMs) {
      return queue.hasIdleSlot()
          ? queue.poll(team -> true, nowMs).map(QueuedRequest::item).orElse(null)
          : null;
    }

    @Override
    void onFinished(SimRequest request, long nowMs) {
      queue.finish(request.queued(), nowMs - request.startedAtMs());
    }

    @Override
    void expire(long nowMs) {
      queue
          .dropUnreachable(nowMs)
          .forEach(dropped -> adjustCounts(dropped.request().item().team(), -1, 0));
    }

    @Override
    void updateReportedDemand() {
      reportedDemand = demand();
    }

    @Override
    void receiveDemand(SimDaemon other) {
      demandByDaemon.put(other.index, ((FairByShare) other).reportedDemand);
    }

    @Override
    void replan() {
      SortedMap<String, Integer> demand = new TreeMap<>();
      List<String> names = ShareSimulation.daemonNames(scenario.daemonCount());
      for (int i = 0; i < names.size(); i++) {
        demand.put(names.get(i), i == index ? reportedDemand : demandByDaemon.getOrDefault(i, 0));
      }
      Map<String, Integer> own =
          planner.plan(minionSlots, demand, scenario.maxPerMinion()).slotsOf(names.get(index));
      int[] slots = new int[minionSlots.size()];
      for (int minion = 0; minion < slots.length; minion++) {
        slots[minion] = own.getOrDefault(minionSlots.get(minion).instance(), 0);
      }
      assignSlots(slots);
      queue.resize(java.util.Arrays.stream(slots).sum());
    }
  }

  /** The baseline: first come, first served, with a static split of the slots. */
  static final class FirstComeFirstServed extends SimDaemon {
    private record Entry(SimRequest request, long deadlineMs) {}

    private final ArrayDeque<Entry> queue = new ArrayDeque<>();

    FirstComeFirstServed(int index, ShareScenario scenario, List<MinionSlots> minionSlots) {
      super(index, scenario, minionSlots);
      int[] slots = new int[minionSlots.size()];
      int slot = 0;
      for (int minion = 0; minion < slots.length; minion++) {
        for (int i = 0; i < minionSlots.get(minion).slots(); i++, slot++) {
          slots[minion] += slot % scenario.daemonCount() == index ? 1 : 0;
        }
      }
      assignSlots(slots);
    }

    @Override
    void offer(SimRequest request, long nowMs) {
      if (queued(request.team()) < scenario.maxQueued()) {
        queue.addLast(new Entry(request, nowMs + scenario.deadlineMs()));
        adjustCounts(request.team(), 1, 0);
      }
    }

    @Override
    SimRequest poll(long nowMs) {
      Entry entry = queue.pollFirst();
      return entry == null ? null : entry.request();
    }

    @Override
    void onFinished(SimRequest request, long nowMs) {}

    @Override
    void expire(long nowMs) {
      while (!queue.isEmpty() && queue.peekFirst().deadlineMs() <= nowMs) {
        adjustCounts(queue.pollFirst().request().team(), -1, 0);
      }
    }

    @Override
    void updateReportedDemand() {}

    @Override
    void receiveDemand(SimDaemon other) {}

    @Override
    void replan() {}
  }
}
