package org.laburnumarch.internal.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.state.TestTexts.with;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates members that transfer allowance to each other while members join, are expelled and
 * reclaimed, and while the limit changes; messages are delayed, duplicated or lost.
 */
class AllowanceConservationTest {

  /**
   * Guards against a sequence of events after which the members together hold more than a team's
   * limit.
   */
  @Property(tries = 150, seed = "11")
  void shouldNeverHoldMoreThanTheLimit(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    for (int step = 0; step < 250; step++) {
      simulation.step();
      simulation.check();
    }
  }

  /** The transfer counters of one process in the current epoch, by peer. */
  private static final class Counters {
    final Map<String, Integer> sent = new HashMap<>();
    final Map<String, Integer> received = new HashMap<>();

    int balance() {
      return received.values().stream().mapToInt(Integer::intValue).sum()
          - sent.values().stream().mapToInt(Integer::intValue).sum();
    }

    void forget(String peer) {
      sent.remove(peer);
      received.remove(peer);
    }
  }

  private record Message(String from, String to, long epoch, int cumulativeUnits) {}

  private static final class Simulation {
    private final UniformRandomProvider random;
    private final ControlLogFixture fixture = ControlLogFixture.withFleet();
    private final Map<String, Counters> processes = new HashMap<>();
    private final List<Message> messages = new ArrayList<>();
    private int startedCount;
    private long epoch = fixture.allowance("red").epoch();

    Simulation(long seed) {
      random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    void step() {
      switch (random.nextInt(12)) {
        case 0 -> join();
        case 1, 2 -> claim();
        case 3, 4, 5 -> send();
        case 6, 7 -> deliver();
        case 8 -> depart();
        case 9 -> acknowledge();
        case 10 -> reclaim();
        default -> changeLimit();
      }
    }

    void check() {
      AllowanceEntry entry = fixture.allowance("red");
      assertThat(Invariants.isConserved(entry)).isTrue();
      int heldUnits = 0;
      for (String memberId : processes.keySet()) {
        assertThat(held(memberId)).isNotNegative();
        heldUnits += held(memberId);
      }
      assertThat(heldUnits + entry.unassignedUnits()).isLessThanOrEqualTo(entry.limitUnits());
    }

    private int held(String memberId) {
      return fixture.allowance("red").baseUnits().getOrElse(memberId, 0)
          + processes.get(memberId).balance();
    }

    private void join() {
      String memberId = "m" + startedCount;
      if (fixture.state().members().size() < 6) {
        fixture.join(memberId);
        processes.put(memberId, new Counters());
        startedCount++;
      }
    }

    private void claim() {
      String memberId = randomMember();
      if (memberId != null) {
        var units = List.of(new TeamUnits("red", 1 + random.nextInt(4)));
        fixture.apply(new RecordBody.AllowanceClaimed(memberId, units));
      }
    }

    /** Departed members continue to send: they do not know that they were expelled. */
    private void send() {
      String from = randomMember();
      String to = randomMember();
      if (from == null || from.equals(to) || held(from) == 0 || knowsDeparture(from, to)) {
        return;
      }
      int units = 1 + random.nextInt(held(from));
      int cumulative = processes.get(from).sent.merge(to, units, Integer::sum);
      messages.add(new Message(from, to, epoch, cumulative));
    }

    private void deliver() {
      if (messages.isEmpty()) {
        return;
      }
      Message message = messages.get(random.nextInt(messages.size()));
      if (random.nextInt(3) > 0) {
        messages.remove(message);
      }
      Counters receiver = processes.get(message.to());
      if (receiver != null
          && processes.containsKey(message.from())
          && message.epoch() == epoch
          && !knowsDeparture(message.to(), message.from())) {
        receiver.received.merge(message.from(), message.cumulativeUnits(), Math::max);
      }
    }

    private boolean knowsDeparture(String memberId, String other) {
      return fixture.member(memberId).isActive() && !fixture.member(other).isActive();
    }

    private void depart() {
      String memberId = randomMember();
      String by = randomMember();
      if (memberId == null || memberId.equals(by) || random.nextInt(3) > 0) {
        return;
      }
      boolean isSilent = random.nextBoolean();
      if (isSilent) {
        fixture.apply(new RecordBody.MemberSuspected(memberId, by));
        fixture.advance(10_000);
      }
      var reason = isSilent ? ExpulsionReason.SILENT : ExpulsionReason.GONE;
      fixture.apply(new RecordBody.MemberExpelled(memberId, by, reason));
    }

    private void acknowledge() {
      String memberId = randomMember();
      if (memberId == null || !fixture.member(memberId).isActive()) {
        return;
      }
      Counters counters = processes.get(memberId);
      List<TransferTotals> totals = new ArrayList<>();
      for (String departed : fixture.state().departures().keySet()) {
        totals.add(
            new TransferTotals(
                departed,
                "red",
                epoch,
                counters.sent.getOrDefault(departed, 0),
                counters.received.getOrDefault(departed, 0)));
      }
      fixture.accept(
          new RecordBody.MemberAcknowledged(memberId, fixture.state().nextOffset(), totals));
    }

    private void reclaim() {
      List<String> departed = new ArrayList<>(fixture.state().departures().keySet().toJavaList());
      if (random.nextBoolean()) {
        departed.removeIf(memberId -> random.nextBoolean());
      }
      RecordResult result = fixture.apply(new RecordBody.AllowanceReclaimed(departed));
      if (result.isAccepted()) {
        processes.keySet().removeAll(departed);
        processes.values().forEach(counters -> departed.forEach(counters::forget));
      } else {
        assertThat(result.code().number()).isLessThan(1900);
      }
    }

    private void changeLimit() {
      if (random.nextInt(4) > 0) {
        return;
      }
      String limit = String.valueOf(random.nextInt(20));
      var text = with(fixture.state().sections(), "team red", "limit", limit);
      fixture.apply(
          TestTexts.change(fixture.state().textVersion(), fixture.state().sections(), text));
      if (fixture.allowance("red").epoch() != epoch) {
        epoch = fixture.allowance("red").epoch();
        processes.values().forEach(counters -> counters.sent.clear());
        processes.values().forEach(counters -> counters.received.clear());
      }
    }

    private String randomMember() {
      List<String> memberIds = processes.keySet().stream().sorted().toList();
      return memberIds.isEmpty() ? null : memberIds.get(random.nextInt(memberIds.size()));
    }
  }
}
