package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.ArgumentMatchers.anyLong;
import static org.mockito.ArgumentMatchers.anyString;
import static org.mockito.Mockito.mock;
import static org.mockito.Mockito.when;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.schedule.Scheduler;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests how the requests to workers share the event loop, with a mocked scheduler. */
class WorkerDriverTest {

  private static final int WORKERS = 48;
  private static final long REQUEST_MS = 20;
  private static final long RETRY_MS = 800;
  private static final long MAX_ROUND_MS = 100;

  private final NodeSettings settings = mock(NodeSettings.class);
  private final SuspendAwareClock clock = mock(SuspendAwareClock.class);
  private final OwnerTenure tenure = mock(OwnerTenure.class);
  private final Scheduler scheduler = mock(Scheduler.class);
  private final List<String> asked = new ArrayList<>();
  private long nowMs = 1_000;
  private int scheduledRounds;

  /** The ownership is renewed on the same event loop. */
  @Test
  void shouldNotBlockTheEventLoopWithFirstRequestsToManyWorkers() {
    when(clock.nowMs()).thenAnswer(call -> nowMs);
    when(tenure.hasAuthority(anyLong())).thenReturn(true);
    when(settings.advisorAddress()).thenReturn(Optional.empty());
    when(scheduler.workerIds())
        .thenReturn(IntStream.range(0, WORKERS).mapToObj(number -> "w" + number).toList());
    when(scheduler.renewal(anyString(), anyLong()))
        .thenAnswer(
            call -> {
              String worker = call.getArgument(0);
              if (!asked.contains(worker)) {
                asked.add(worker);
                nowMs += REQUEST_MS;
              }
              return Optional.empty();
            });
    WorkerDriver driver = driver();
    for (int round = 0; asked.size() < WORKERS; round++) {
      long startedAtMs = nowMs;
      assertThat(scheduledRounds).isEqualTo(round);
      driver.renewLeases();
      assertThat(nowMs - startedAtMs).isLessThan(MAX_ROUND_MS);
    }
  }

  /** Guards against workers at the end of the list whose leases expire unasked. */
  @Test
  void shouldAskAllWorkersInTurnIfNotAllCanBeAskedInARound() {
    when(clock.nowMs()).thenAnswer(call -> nowMs);
    when(tenure.hasAuthority(anyLong())).thenReturn(true);
    when(settings.advisorAddress()).thenReturn(Optional.empty());
    when(scheduler.workerIds())
        .thenReturn(IntStream.range(0, WORKERS).mapToObj(number -> "w" + number).toList());
    when(scheduler.renewal(anyString(), anyLong()))
        .thenAnswer(
            call -> {
              asked.add(call.getArgument(0));
              nowMs += REQUEST_MS;
              return Optional.empty();
            });
    WorkerDriver driver = driver();
    for (int round = 0; round < WORKERS; round++) {
      driver.renewLeases();
    }
    assertThat(Set.copyOf(asked)).hasSize(WORKERS);
  }

  /** Guards against leases that expire while silent workers, asked first, are due again. */
  @Test
  void shouldAskTheOthersWhileSilentWorkersAreAlwaysDue() {
    Map<String, Long> silentAskedAtMs = new LinkedHashMap<>();
    IntStream.range(0, WORKERS).forEach(number -> silentAskedAtMs.put("silent" + number, 0L));
    when(clock.nowMs()).thenAnswer(call -> nowMs);
    when(tenure.hasAuthority(anyLong())).thenReturn(true);
    when(settings.advisorAddress()).thenReturn(Optional.empty());
    when(scheduler.workerIds())
        .thenAnswer(
            call ->
                Stream.concat(
                        silentAskedAtMs.keySet().stream()
                            .sorted(Comparator.comparing(silentAskedAtMs::get)),
                        Stream.of("reported"))
                    .toList());
    when(scheduler.renewal(anyString(), anyLong()))
        .thenAnswer(
            call -> {
              String worker = call.getArgument(0);
              if (nowMs - silentAskedAtMs.getOrDefault(worker, 0L) >= RETRY_MS) {
                asked.add(worker);
                silentAskedAtMs.computeIfPresent(worker, (id, atMs) -> nowMs);
                nowMs += REQUEST_MS;
              }
              return Optional.empty();
            });
    WorkerDriver driver = driver();
    for (long untilMs = nowMs + 10_000; nowMs < untilMs; ) {
      driver.renewLeases();
    }
    assertThat(asked).contains("reported");
  }

  private WorkerDriver driver() {
    return new WorkerDriver(
        settings,
        mock(EventLoopThread.class),
        clock,
        mock(StoreClient.class),
        tenure,
        scheduler,
        () -> scheduledRounds++,
        mock(Owner.Listener.class),
        mock(Meters.class),
        mock(OwnerLoad.class));
  }
}
