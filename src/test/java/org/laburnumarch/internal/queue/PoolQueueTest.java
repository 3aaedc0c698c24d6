package org.laburnumarch.internal.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

class PoolQueueTest {
  private static final long FAR_DEADLINE_MS = 1_000_000_000;

  /** A pool in virtual time; each queued item is the run time of its request in milliseconds. */
  private static final class Pool {
    private record Run(QueuedRequest<Integer> request, long startedAtMs, long endsAtMs) {}

    final PoolQueue<Integer> queue = new PoolQueue<>();
    final Map<String, Long> usedMs = new HashMap<>();
    final List<String> started = new ArrayList<>();
    final PriorityQueue<Run> running =
        new PriorityQueue<>((a, b) -> Long.compare(a.endsAtMs(), b.endsAtMs()));
    long nowMs;

    Pool(int slots) {
      queue.resize(slots);
    }

    void offer(TeamWeight weight, int count, int runMs) {
      for (int i = 0; i < count; i++) {
        assertThat(queue.offer(runMs, weight, 100_000, FAR_DEADLINE_MS, nowMs).isRight()).isTrue();
      }
    }

    /** Advances the time to {@code endMs}, and ends and dispatches requests until then. */
    void runUntil(long endMs) {
      dispatch();
      while (!running.isEmpty() && running.peek().endsAtMs() <= endMs) {
        Run run = running.poll();
        nowMs = run.endsAtMs();
        queue.finish(run.request(), nowMs - run.startedAtMs());
        usedMs.merge(run.request().team(), nowMs - run.startedAtMs(), Long::sum);
        dispatch();
      }
      nowMs = endMs;
    }

    private void dispatch() {
      while (queue.hasIdleSlot() && queue.queued() > 0) {
        QueuedRequest<Integer> next = queue.poll(team -> true, nowMs).orElseThrow();
        started.add(next.team());
        running.add(new Run(next, nowMs, nowMs + next.item()));
      }
    }

    double usedShare(String team) {
      long all = usedMs.values().stream().mapToLong(Long::longValue).sum();
      return (double) usedMs.getOrDefault(team, 0L) / all;
    }
  }

  private static TeamWeight team(String name, double share) {
    return new TeamWeight(name, share, false);
  }

  @Nested
  @Group
  class Shares {

    /**
     * Guards against a team that gets more than its share because its requests or its queue are
     * longer.
     */
    @Property(tries = 50)
    void shouldKeepEachTeamWithinTwoPercentOfItsShareOverTenSeconds(@ForAll long seed) {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      Pool pool = new Pool(16);
      double[] shares = {0.5, 0.3, 0.15, 0.05};
      for (int i = 0; i < shares.length; i++) {
        TeamWeight weight = team("t" + i, shares[i]);
        int meanMs = 10 + random.nextInt(90);
        for (int k = 0; k < 20_000 * shares[i] * 100 / meanMs; k++) {
          pool.offer(weight, 1, 1 + random.nextInt(2 * meanMs));
        }
      }
      pool.runUntil(10_000);
      for (int i = 0; i < shares.length; i++) {
        assertThat(pool.usedShare("t" + i)).as("seed %d", seed).isCloseTo(shares[i], within(0.02));
      }
    }

    /**
     * Guards against idle slots while a team has queued requests, and against a lent share that its
     * team does not get back at once.
     */
    @Test
    void shouldLendIdleShareAndReturnItAtOnce() {
      Pool pool = new Pool(10);
      pool.offer(team("busy", 0.2), 50_000, 10);
      pool.runUntil(5_000);
      assertThat(pool.usedMs).containsEntry("busy", 50_000L);
      pool.offer(team("back", 0.8), 50_000, 10);
      pool.usedMs.clear();
      pool.runUntil(5_100);
      assertThat(pool.usedShare("back")).isGreaterThan(0.75);
    }

    /** Guards against a team that takes the whole pool after it was idle. */
    @Test
    void shouldNotAccumulateIdleShare() {
      Pool pool = new Pool(10);
      pool.offer(team("a", 0.5), 1, 10);
      pool.offer(team("b", 0.5), 50_000, 10);
      pool.runUntil(10_000);
      pool.offer(team("a", 0.5), 50_000, 10);
      pool.usedMs.clear();
      pool.runUntil(12_000);
      assertThat(pool.usedShare("a")).isCloseTo(0.5, within(0.06));
    }

    /**
     * Guards against urgent requests that wait behind other teams, or that take more than their
     * team's share.
     */
    @Test
    void shouldPreferUrgentTeamsWithinTheirShare() {
      Pool pool = new Pool(10);
      TeamWeight urgent = new TeamWeight("urgent", 0.2, true);
      pool.offer(team("other", 0.8), 50_000, 10);
      pool.runUntil(1_000);
      pool.started.clear();
      // These are more than a team may catch up by its credit after a short idle time.
      pool.offer(urgent, 36, 10);
      pool.runUntil(1_050);
      assertThat(pool.started.subList(0, 36)).containsOnly("urgent");
      pool.offer(urgent, 50_000, 10);
      pool.usedMs.clear();
      pool.runUntil(11_000);
      assertThat(pool.usedShare("urgent")).isCloseTo(0.2, within(0.02));
    }

    /** Guards against requests of teams without a share that displace those of teams with one. */
    @Test
    void shouldRunTeamsWithoutShareOnlyOnIdleSlots() {
      Pool pool = new Pool(2);
      pool.offer(TeamWeight.ofBackgroundTeam(TeamWeight.OPEN), 10, 10);
      pool.offer(team("a", 0.1), 10, 10);
      pool.runUntil(50);
      assertThat(pool.started.subList(0, 10)).containsOnly("a");
      pool.runUntil(200);
      assertThat(pool.started).hasSize(20);
    }
  }

  @Nested
  @Group
  class Refusals {

    /** Guards against memory use that grows with a team's demand without a bound. */
    @Test
    void shouldRejectRequestsBeyondTheQueueBound() {
      PoolQueue<Integer> queue = new PoolQueue<>();
      queue.resize(1);
      queue.offer(1, team("a", 1), 1, FAR_DEADLINE_MS, 0);
      Refusal refusal = queue.offer(1, team("a", 1), 1, FAR_DEADLINE_MS, 0).getLeft();
      assertThat(refusal.code()).isEqualTo(ResultCode.QUEUE_FULL);
      assertThat(refusal.retryAfterMs()).isPositive();
      assertThat(queue.offer(1, team("b", 1), 1, FAR_DEADLINE_MS, 0).isRight()).isTrue();
    }

    /** Guards against callers that wait for a response that cannot come in time. */
    @Test
    void shouldRejectAtOnceRequestsThatCannotMeetTheirDeadline() {
      Pool pool = new Pool(2);
      pool.offer(team("a", 1), 200, 100);
      pool.runUntil(5_000);
      // 100 requests are queued and 20 are served per second.
      assertThat(pool.queue.offer(1, team("a", 1), 1_000, 5_000 + 6_000, 5_000).isRight()).isTrue();
      Refusal refusal = pool.queue.offer(1, team("a", 1), 1_000, 5_000 + 4_000, 5_000).getLeft();
      assertThat(refusal.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
      assertThat(refusal.retryAfterMs()).isBetween(500L, 2_000L);
    }

    /** Guards against requests that stay queued until their deadline when the pool stalls. */
    @Test
    void shouldDropWaitingRequestsWhenThePoolStalls() {
      Pool pool = new Pool(2);
      pool.offer(team("a", 1), 100, 10);
      pool.runUntil(100);
      pool.queue.offer(1, team("a", 1), 1_000, 10_000, 100);
      assertThat(pool.queue.dropUnreachable(100)).isEmpty();
      // No request ends for three seconds.
      List<PoolQueue.Dropped<Integer>> dropped = pool.queue.dropUnreachable(3_100);
      assertThat(dropped).hasSize(1);
      assertThat(dropped.get(0).refusal().code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    }

    /** Guards against a team at its upper limit that blocks the other teams. */
    @Test
    void shouldSkipATeamAtItsUpperLimit() {
      PoolQueue<Integer> queue = new PoolQueue<>();
      queue.resize(4);
      queue.offer(1, team("limited", 0.9), 100, 10_000, 0);
      queue.offer(1, team("free", 0.1), 100, 10_000, 0);
      assertThat(queue.poll(team -> team.equals("free"), 0).orElseThrow().team()).isEqualTo("free");
      assertThat(queue.poll(team -> team.equals("free"), 0)).isEmpty();
      assertThat(queue.dropUnreachable(500)).isEmpty();
      assertThat(queue.dropUnreachable(1_000).get(0).refusal().code())
          .isEqualTo(ResultCode.LIMIT_REACHED);
      // Units may have arrived since, so the next request is attempted again.
      assertThat(queue.offer(1, team("limited", 0.9), 100, 20_000, 5_000).isRight()).isTrue();
      assertThat(queue.poll(team -> true, 5_000)).isPresent();
    }
  }
}
