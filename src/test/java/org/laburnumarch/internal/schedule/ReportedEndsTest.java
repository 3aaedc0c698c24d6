package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests which ends are acknowledged when reports leave out numbers. */
class ReportedEndsTest {

  private final ReportedEnds ends = new ReportedEnds();
  private long nowMs = 1_000;

  /** Delivers a report whose ends are stored at once; returns what is acknowledged then. */
  private long report(boolean listsAllEnds, LongStream numbers) {
    long requestedAtMs = ++nowMs;
    nowMs++;
    return deliver(requestedAtMs, listsAllEnds, numbers);
  }

  private long deliver(long requestedAtMs, boolean listsAllEnds, LongStream numbers) {
    List<EndedTask> listed =
        numbers
            .mapToObj(number -> new EndedTask(number, "a.0.0." + number, 1, EndKind.DONE, ""))
            .toList();
    listed.stream().filter(ends::isNew).forEach(ended -> ends.onApplied(ended, 1));
    ends.onReport(
        new WorkerReport(nowMs, 0, List.of(), listed, listsAllEnds), requestedAtMs, nowMs);
    ends.acknowledge(1);
    return ends.acknowledged();
  }

  @Test
  void shouldAcknowledgeEndsWithoutGapsAfterOneReport() {
    assertThat(report(true, LongStream.rangeClosed(1, 3))).isEqualTo(3);
    assertThat(ends.hasUnacknowledged()).isFalse();
  }

  /** Guards against an end that arrives late, after all others have been acknowledged. */
  @Test
  void shouldKeepAnEndThatIsListedLate() {
    assertThat(report(true, LongStream.of(1, 2, 4))).isEqualTo(2);
    assertThat(ends.isNew(new EndedTask(3, "a.0.0.3", 1, EndKind.DONE, ""))).isTrue();
    assertThat(report(true, LongStream.of(3, 4))).isEqualTo(4);
  }

  /** Guards against a report that was written before the one that left out a number. */
  @Test
  void shouldNotTakeAnEarlierReportForTheSecondOne() {
    long requestedAtMs = nowMs;
    assertThat(report(true, LongStream.of(2))).isZero();
    assertThat(deliver(requestedAtMs, true, LongStream.of(2))).isZero();
    assertThat(ends.hasGap()).isTrue();
  }

  /** Guards against acknowledgements that fall behind a worker that uses every second number. */
  @Test
  void shouldAcknowledgeAllEndsOfAReportWithManyUnusedNumbers() {
    assertThat(report(true, LongStream.of(2, 4, 6, 8))).isZero();
    assertThat(report(true, LongStream.of(2, 4, 6, 8, 10))).isEqualTo(8);
    assertThat(report(true, LongStream.of(10, 12))).isEqualTo(10);
  }

  /** Guards against an end that the second report leaves out because its list is full. */
  @Test
  void shouldNotTakeANumberForUnusedBeyondTheEndOfAFullList() {
    assertThat(report(false, LongStream.of(3, 6))).isZero();
    assertThat(report(false, LongStream.of(1, 3))).isEqualTo(3);
    assertThat(report(true, LongStream.of(5, 6))).isEqualTo(6);
  }
}
