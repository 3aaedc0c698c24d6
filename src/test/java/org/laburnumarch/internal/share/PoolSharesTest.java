package org.laburnumarch.internal.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.TeamConfig;

/** Tests the division of one pool in virtual time, on a pool of equal seats. */
class PoolSharesTest {

  private static final int SEATS = 100;
  private static final long ROUND_MS = 20;

  private record Item(String team, boolean isAgreed, int seats, long runMs) {}

  private record Running(Item item, long endsAtMs) {}

  /** A pool whose rounds start waiting items in the order of the shares as long as they fit. */
  private static final class Simulation {
    private final PoolShares shares = new PoolShares();
    private final TeamWeights weights;
    private final List<Item> waiting = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<String, Double> seatMs = new HashMap<>();
    private long nowMs;

    Simulation(Map<String, Double> weightByTeam) {
      this.weights = TeamWeights.of(config(weightByTeam));
    }

    void round() {
      nowMs += ROUND_MS;
      running.forEach(
          run ->
              seatMs.merge(run.item().team(), (double) run.item().seats() * ROUND_MS, Double::sum));
      running.removeIf(run -> run.endsAtMs() <= nowMs);
      Map<String, Double> used = new HashMap<>();
      running.forEach(
          run -> used.merge(run.item().team(), (double) run.item().seats() / SEATS, Double::sum));
      Set<String> teams = new HashSet<>();
      waiting.forEach(item -> teams.add(item.team()));
      int free = SEATS - running.stream().mapToInt(run -> run.item().seats()).sum();
      boolean isFull = waiting.stream().mapToInt(Item::seats).sum() > free;
      shares.update(weights, used, teams, isFull, nowMs);
      List<WaitingWork<Item>> usual = new ArrayList<>();
      for (Item item : waiting) {
        usual.add(
            new WaitingWork<>(
                item, item.team(), 0, item.isAgreed(), (double) item.seats() / SEATS, 0));
      }
      for (Item item : isFull ? shares.order(usual) : List.copyOf(waiting)) {
        if (item.seats() <= free) {
          free -= item.seats();
          waiting.remove(item);
          running.add(new Running(item, nowMs + item.runMs()));
        }
      }
      int left = free;
      assertThat(waiting).as("waits beside free seats").noneMatch(item -> item.seats() <= left);
    }

    void keepWaiting(Item item, int count) {
      for (long missing = count - waiting.stream().filter(item::equals).count();
          missing > 0;
          missing--) {
        waiting.add(item);
      }
    }
  }

  private static FleetConfig config(Map<String, Double> weightByTeam) {
    List<TeamConfig> teams = new ArrayList<>();
    weightByTeam.forEach(
        (team, weight) -> teams.add(new TeamConfig(team, Set.of(team), weight, Resources.NONE)));
    return new FleetConfig(1, List.of(), List.of(), teams, CallerLimits.DEFAULT);
  }

  /**
   * Guards against a team that gets more by sending more or larger work: over each window of 20 s
   * in which a team has work waiting, it gets its share less 4 s of the pool's time in its share,
   * and no work waits beside free seats.
   */
  @Test
  void shouldGiveEachWaitingTeamItsShareWhateverOthersSend() {
    for (long seed = 1; seed <= 6; seed++) {
      Random random = new Random(seed);
      Map<String, Double> weightByTeam = new HashMap<>();
      Map<String, Item> items = new HashMap<>();
      for (int i = 0; i < 5; i++) {
        String team = "t" + i;
        weightByTeam.put(team, 0.5 + random.nextInt(8));
        items.put(
            team, new Item(team, false, 1 + random.nextInt(5), 200 + 100L * random.nextInt(14)));
      }
      Simulation pool = new Simulation(weightByTeam);
      String steady = "t0";
      double total = weightByTeam.values().stream().mapToDouble(w -> w).sum();
      double share = weightByTeam.get(steady) / total;
      for (int window = 0; window < 2; window++) {
        double before = pool.seatMs.getOrDefault(steady, 0.0);
        for (long t = 0; t < 20_000; t += ROUND_MS) {
          pool.keepWaiting(items.get(steady), SEATS);
          for (int i = 1; i < 5; i++) {
            if (random.nextInt(100) < 5) {
              pool.keepWaiting(items.get("t" + i), random.nextInt(3 * SEATS));
            }
          }
          pool.round();
        }
        double got = pool.seatMs.get(steady) - before;
        assertThat(got)
            .as("seat time of a waiting team, seed %d window %d", seed, window)
            .isGreaterThanOrEqualTo(share * SEATS * 16_000);
      }
    }
  }

  /** Guards against agreed jobs of a hundred tasks that count like jobs of one task. */
  @Test
  void shouldBoundAgreedWorkOfOneTeamByItsShare() {
    Simulation pool = new Simulation(Map.of("large", 1.0, "small", 1.0));
    for (int i = 0; i < 1_500; i++) {
      pool.keepWaiting(new Item("large", true, 20, 1_000), 20);
      pool.keepWaiting(new Item("small", true, 1, 1_000), 100);
      pool.round();
    }
    assertThat(pool.seatMs.get("small")).isGreaterThan(0.4 * SEATS * pool.nowMs);
  }

  /** Guards against a burst after an idle time that is owed for minutes, and debts without end. */
  @Test
  void shouldBoundDebtsAndGrantNoCreditForIdleTime() {
    Simulation pool = new Simulation(Map.of("busy", 1.0, "idle", 1.0));
    for (int i = 0; i < 3_000; i++) {
      pool.keepWaiting(new Item("busy", false, 1, 1_000), 300);
      pool.round();
    }
    double busyBefore = pool.seatMs.get("busy");
    for (int i = 0; i < 500; i++) {
      pool.keepWaiting(new Item("busy", false, 1, 1_000), 300);
      pool.keepWaiting(new Item("idle", false, 1, 1_000), 300);
      pool.round();
    }
    assertThat(pool.seatMs.get("busy") - busyBefore).isGreaterThan(0.4 * SEATS * 10_000);
    assertThat(pool.shares.debts().values())
        .allSatisfy(debt -> assertThat(debt).isLessThanOrEqualTo(PoolShares.MAX_DEBT_MS));
  }

  /** Guards against a successor that forgets who owes, or fails on a record that it cannot read. */
  @Test
  void shouldContinueFromARecord() throws IOException {
    FleetConfig config = config(Map.of("a", 0.25));
    TeamShares first = new TeamShares();
    first.configure(config);
    assertThat(first.tryTakeCredit("a", 0)).isTrue();
    assertThat(first.tryTakeCredit("a", 0)).isFalse();
    first.pool("p").restore(Map.of("a", 500.0, "b", 0.0), 0);
    TeamShares second = new TeamShares();
    second.configure(config);
    byte[] encoded = first.record(new byte[] {7}, 0, 1_000_000).encode();
    SharesRecord record = SharesRecord.decode(encoded);
    second.restore(record, 50, 1_000_100);
    assertThat(record.invitationBytes()).containsExactly(7);
    assertThat(second.tryTakeCredit("a", 3_000)).isFalse();
    assertThat(second.tryTakeCredit("a", 4_000)).isTrue();
    assertThat(second.pool("p").debts()).containsEntry("a", 400.0);
    assertThatThrownBy(() -> SharesRecord.decode(new byte[] {1, 2}))
        .isInstanceOf(IOException.class);
  }
}
