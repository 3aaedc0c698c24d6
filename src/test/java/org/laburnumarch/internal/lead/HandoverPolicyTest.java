package org.laburnumarch.internal.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.lead.HandoverPolicy.Offer;
import org.laburnumarch.internal.lead.HandoverPolicy.Reason;

/** Tests to whom an owner offers the ownership, and that it does not oscillate. */
class HandoverPolicyTest {

  private static final LoadSample QUICK = new LoadSample(500, 4, 0, 5, 0);
  private static final LoadSample SLOW_LINK = new LoadSample(300, 320, 600, 10, 0);
  private static final LoadSample DEAD_WORKERS = new LoadSample(300, 5, 200, 10, 0);
  private static final LoadSample SLOW_PROCESSOR = new LoadSample(300, 90, 20, 900, 0);
  private static final InstanceSize SMALL = new InstanceSize(0.36, 7);
  private static final InstanceSize LARGE = new InstanceSize(1.2, 140);

  private final HandoverPolicy policy = new HandoverPolicy(SMALL, 0);

  private static DaemonState able(String holder, InstanceSize size) {
    return new DaemonState(holder, size, false, 60_000, 4, 4, 5);
  }

  /** Returns the offer after some seconds with the same measurements. */
  private Optional<Offer> after(LoadSample sample, int seconds, DaemonState... others) {
    for (int second = 3; second < 3 + seconds; second++) {
      policy.onSample(sample, second * 1_000L);
    }
    long nowMs = (2 + seconds) * 1_000L;
    for (DaemonState other : others) {
      policy.onState(other, nowMs);
    }
    return policy.decide(nowMs);
  }

  @Nested
  class Limits {

    @Test
    void shouldOfferToTheLargestIfTheLinkIsTooSlow() {
      DaemonState middle = able("middle", new InstanceSize(0.5, 60));
      assertThat(after(SLOW_LINK, 2, middle, able("large", LARGE)))
          .contains(new Offer("large", Reason.LINK));
    }

    @Test
    void shouldOfferIfTheProcessorIsTooSlow() {
      assertThat(after(SLOW_PROCESSOR, 3, able("large", LARGE)))
          .contains(new Offer("large", Reason.PROCESSOR));
    }

    /** Guards against an owner whose replies are quick only because it holds back most starts. */
    @Test
    void shouldOfferIfStartsAreHeldBack() {
      LoadSample held = new LoadSample(200, 20, 0, 10, 0.9);
      assertThat(after(held, 3, able("large", LARGE))).contains(new Offer("large", Reason.LINK));
    }

    /** Guards against a move for workers that do not respond, which no other owner would mend. */
    @Test
    void shouldNotMoveForWorkersThatDoNotRespond() {
      assertThat(after(DEAD_WORKERS, 30, able("large", LARGE))).isEmpty();
    }

    @Test
    void shouldNeitherSeekNorMoveWhileRepliesAreQuick() {
      assertThat(after(QUICK, 30, able("large", LARGE))).isEmpty();
      assertThat(policy.isSeeking()).isFalse();
    }

    /** Guards against a move that costs more than a short peak. */
    @Test
    void shouldForgetAShortPeak() {
      for (int second = 3; second < 60; second++) {
        policy.onSample(second % 10 == 0 ? SLOW_LINK : QUICK, second * 1_000L);
        policy.onState(able("large", LARGE), second * 1_000L);
        if (second % 10 != 0) {
          assertThat(policy.decide(second * 1_000L)).as("second %d", second).isEmpty();
        }
      }
    }
  }

  @Nested
  class Candidates {

    @Test
    void shouldKeepTheOwnershipIfOthersAreNotClearlyLarger() {
      assertThat(after(SLOW_LINK, 30, able("equal", SMALL), able("a", new InstanceSize(1.5, 12))))
          .isEmpty();
    }

    @Test
    void shouldPassOverDaemonsThatAreStoppingSlowOrCutOff() {
      assertThat(
              after(
                  SLOW_LINK,
                  5,
                  new DaemonState("stopping", LARGE, true, 60_000, 4, 4, 5),
                  new DaemonState("unread", LARGE, false, 60_000, -1, 4, 5),
                  new DaemonState("unwritten", LARGE, false, 60_000, 4, -1, 5),
                  new DaemonState("cold", LARGE, false, 900, 4, 4, 5),
                  new DaemonState("slow", LARGE, false, 60_000, 4, 4, 600)))
          .isEmpty();
    }

    @Test
    void shouldNotAskAgainSoonAfterARefusal() {
      assertThat(after(SLOW_LINK, 5, able("large", LARGE))).isPresent();
      policy.onNotAccepted("large", 7_000);
      assertThat(policy.decide(7_100)).isEmpty();
    }

    /** Guards against a takeover for each daemon of a rolling restart. */
    @Test
    void shouldPreferADaemonThatHasBeenRestartedWhenStopping() {
      policy.onStopping();
      DaemonState restarted = new DaemonState("restarted", LARGE, false, 5_000, 4, 4, 5);
      assertThat(after(QUICK, 1, able("large", LARGE), restarted))
          .contains(new Offer("restarted", Reason.STOPPING));
    }
  }

  /** Guards against a takeover for each daemon that is stopped in a rolling restart. */
  @RepeatedTest(50)
  void shouldMoveSeldomInARollingRestart() {
    long seed = new Random().nextLong();
    Random random = new Random(seed);
    long spacingMs = 1_500L + random.nextInt(4_000);
    List<String> order = new ArrayList<>(List.of("a", "b", "c", "d", "e", "f", "g", "h"));
    Collections.shuffle(order, random);
    Map<String, Long> startedAtMs = new HashMap<>();
    order.forEach(holder -> startedAtMs.put(holder, (long) random.nextInt(1_000)));
    String owner = "a";
    int moves = 0;
    long nowMs = 100_000;
    for (String stopped : order) {
      nowMs += spacingMs;
      if (stopped.equals(owner)) {
        HandoverPolicy stopping = new HandoverPolicy(LARGE, 0);
        stopping.onStopping();
        for (Map.Entry<String, Long> other : startedAtMs.entrySet()) {
          long uptimeMs = nowMs - other.getValue();
          if (!other.getKey().equals(stopped)) {
            stopping.onState(
                new DaemonState(other.getKey(), LARGE, false, uptimeMs, 4, 4, 5), nowMs);
          }
        }
        owner = stopping.decide(nowMs).orElseThrow().successor();
        moves++;
      }
      startedAtMs.put(stopped, nowMs + 1_000);
    }
    assertThat(moves).as("seed %d", seed).isBetween(1, 4);
  }

  /**
   * Simulates chains of owners with random sizes, loads and faults of the other daemons. Guards
   * against an ownership that returns to a daemon, or moves to one that cannot own the fleet.
   */
  @RepeatedTest(50)
  void shouldNeverReturnToADaemonThatWasLimited() {
    long seed = new Random().nextLong();
    Random random = new Random(seed);
    List<DaemonState> daemons = new ArrayList<>();
    for (int i = 0; i < 34; i++) {
      double cores = 0.36 + 1.14 * random.nextDouble();
      daemons.add(able("d" + i, new InstanceSize(cores, 7 + 133 * random.nextDouble())));
    }
    DaemonState owner = daemons.get(0);
    Set<String> earlier = new HashSet<>();
    Map<String, DaemonState> reported = new HashMap<>();
    HandoverPolicy deciding = new HandoverPolicy(owner.size(), 0);
    for (long nowMs = 1_000; nowMs < 300_000; nowMs += 1_000) {
      LoadSample sample =
          List.of(QUICK, SLOW_LINK, SLOW_LINK, SLOW_PROCESSOR).get(random.nextInt(4));
      deciding.onSample(sample, nowMs);
      for (DaemonState daemon : daemons) {
        boolean isAble = random.nextInt(3) > 0;
        if (!daemon.holder().equals(owner.holder()) && random.nextInt(10) > 0) {
          DaemonState state =
              new DaemonState(daemon.holder(), daemon.size(), false, 60_000, isAble ? 4 : -1, 4, 5);
          reported.put(state.holder(), state);
          deciding.onState(state, nowMs);
        }
      }
      Optional<Offer> offer = deciding.decide(nowMs);
      if (offer.isPresent()) {
        String successor = offer.get().successor();
        earlier.add(owner.holder());
        assertThat(earlier).as("seed %d", seed).doesNotContain(successor);
        assertThat(reported.get(successor).canOwn()).as("seed %d", seed).isTrue();
        owner = daemons.get(Integer.parseInt(successor.substring(1)));
        deciding = new HandoverPolicy(owner.size(), nowMs);
      }
    }
  }
}
