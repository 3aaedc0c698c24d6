package org.laburnumarch.internal.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;

/**
 * Tests how an owner that takes over a fleet of hundreds of workers asks them for their first
 * reports, in virtual time.
 */
class FirstReportsTest {

  private static final int WORKERS = 400;
  private static final long TERM = 2;

  /** Largest number of reports that a process can take in at once soon after its start. */
  private static final int BEARABLE_AT_ONCE = 64;

  private static final long REPORT_TIMEOUT_MS = 700;

  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Set<String> inFlight = new HashSet<>();
  private long nowMs = 1_000_000;
  private Scheduler scheduler;

  @BeforeEach
  void takeOver() {
    for (int i = 0; i < WORKERS; i++) {
      workers.put("w" + i, new SimulatedWorker("w" + i, TestJobs.SERVICE, "r" + i / 12, nowMs));
    }
    nowMs += 60_000;
    scheduler = new Scheduler(TestJobs.SETTINGS, TERM, nowMs, true);
    scheduler.configure(TestJobs.config(100_000, 2));
    workers.values().forEach(worker -> scheduler.restoreEnrolled(worker.listing()));
  }

  /** Returns the requests that are due to workers without one in flight. */
  private List<Renewal> requests() {
    List<Renewal> requests = new ArrayList<>();
    for (String id : scheduler.workerIds()) {
      if (!inFlight.contains(id)) {
        scheduler.renewal(id, nowMs).ifPresent(requests::add);
      }
    }
    requests.forEach(request -> inFlight.add(request.workerId()));
    return requests;
  }

  private void miss(Renewal renewal) {
    inFlight.remove(renewal.workerId());
    scheduler.onReportMissed(renewal.workerId(), ReportFailure.NO_ANSWER, nowMs, nowMs);
  }

  private void answer(Renewal renewal) {
    inFlight.remove(renewal.workerId());
    WorkerReport report = workers.get(renewal.workerId()).renew(renewal, TERM, nowMs);
    scheduler.onReport(renewal.workerId(), report, nowMs, nowMs);
  }

  private void listAll() {
    scheduler.updateWorkerListings(
        workers.values().stream().map(SimulatedWorker::listing).toList(), nowMs);
  }

  @Nested
  class WhenAllWorkersAreListed {

    /**
     * Guards against time-outs that an owner causes itself. Connections to all workers at once take
     * it longer than a report may, so all are opened again, and none ever succeeds.
     */
    @Test
    void shouldAwaitOnlyAsManyAsItCanTakeIn() {
      listAll();
      Set<String> asked = new HashSet<>();
      Deque<Renewal> awaited = new ArrayDeque<>(requests());
      while (!awaited.isEmpty()) {
        assertThat(awaited).hasSizeLessThanOrEqualTo(BEARABLE_AT_ONCE);
        Renewal answered = awaited.removeFirst();
        asked.add(answered.workerId());
        answer(answered);
        awaited.addAll(requests());
      }
      assertThat(asked).hasSize(WORKERS);
    }

    /** Guards against silent workers that use up the places of those that would answer. */
    @Test
    void shouldReachTheOthersWhileAZoneIsSilent() {
      listAll();
      assertThat(workersThatAnswer(number -> number % 5 == 0, 4_000)).hasSize(WORKERS * 4 / 5);
    }

    /**
     * Guards against workers that are never asked since silent ones before them are asked again.
     */
    @Test
    void shouldReachTheOthersBehindManySilentWorkers() {
      listAll();
      assertThat(workersThatAnswer(number -> number < WORKERS / 2, 5_000)).hasSize(WORKERS / 2);
    }

    /** Returns the workers that have answered after a time while some do not. */
    private Set<String> workersThatAnswer(IntPredicate isSilent, long durationMs) {
      Map<Renewal, Long> silent = new LinkedHashMap<>();
      Set<String> answered = new HashSet<>();
      for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += 10) {
        for (Renewal request : requests()) {
          if (isSilent.test(Integer.parseInt(request.workerId().substring(1)))) {
            silent.put(request, nowMs + REPORT_TIMEOUT_MS);
          } else {
            answer(request);
            answered.add(request.workerId());
          }
        }
        silent.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMs)
            .map(Map.Entry::getKey)
            .toList()
            .forEach(
                timedOut -> {
                  silent.remove(timedOut);
                  miss(timedOut);
                });
      }
      return answered;
    }
  }

  @Nested
  class WhenWorkersHaveLeft {

    /** Guards against spending the time of a takeover on workers that do not exist any more. */
    @Test
    void shouldAskThemLessAndLessOften() {
      Map<String, Integer> asked = new LinkedHashMap<>();
      for (long endMs = nowMs + 5_000; nowMs < endMs; nowMs += 50) {
        for (Renewal request : requests()) {
          asked.merge(request.workerId(), 1, Integer::sum);
          miss(request);
        }
      }
      assertThat(asked).hasSize(WORKERS);
      assertThat(asked.values()).allMatch(times -> times >= 2 && times <= 6);
    }

    /** Guards against an enrolment that grows by one worker with each move of an instance. */
    @Test
    void shouldForgetAnIdleOneAtOnce() {
      listAll();
      for (List<Renewal> due = requests(); !due.isEmpty(); due = requests()) {
        due.forEach(FirstReportsTest.this::answer);
        nowMs += 50;
      }
      List<String> reported =
          scheduler.workerLoads(nowMs).stream()
              .filter(WorkerLoad::isUsable)
              .map(WorkerLoad::workerId)
              .toList();
      assertThat(reported).isNotEmpty();
      reported.forEach(workers::remove);
      listAll();
      scheduler.decide(nowMs, nowMs);
      assertThat(scheduler.workersToEnrol()).hasSize(workers.size());
    }
  }
}
