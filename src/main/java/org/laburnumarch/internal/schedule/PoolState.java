package org.laburnumarch.internal.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.laburnumarch.internal.job.Resources;

/**
 * A pool as its owner sees it.
 *
 * @param workers number of known workers
 * @param unavailable number of those that take no tasks, by cause
 * @param free free capacity of those that take tasks
 * @param capacity capacity of all
 * @param startsInFlight number of start orders without a reply
 * @param runs number of runs that occupy capacity
 * @param doubtfulRuns number of these that are being stopped, have an unlisted end or an unanswered
 *     start, or whose workers do not report
 * @param doubtful capacity that doubtful runs occupy
 */
public record PoolState(
    int workers,
    Map<String, Integer> unavailable,
    Resources free,
    Resources capacity,
    int startsInFlight,
    int runs,
    int doubtfulRuns,
    Resources doubtful) {

  /** Copies the map in order of its keys. */
  public PoolState {
    unavailable = Collections.unmodifiableMap(new TreeMap<>(unavailable));
  }

  static PoolState of(Collection<Worker> pool, Set<String> outOfServiceDataCentres, long nowMs) {
    Map<String, Integer> unavailable = new TreeMap<>();
    Resources free = Resources.NONE;
    Resources capacity = Resources.NONE;
    Resources doubtful = Resources.NONE;
    int startsInFlight = 0;
    int runs = 0;
    int doubtfulRuns = 0;
    for (Worker worker : pool) {
      capacity = capacity.plus(worker.listing.capacity());
      startsInFlight += worker.ordersInFlight;
      runs += worker.attempts.size();
      for (Attempt attempt : worker.attempts.values()) {
        if (attempt.isDoubtful()) {
          doubtfulRuns++;
          doubtful = doubtful.plus(attempt.reserved);
        }
      }
      String cause = causeOfUnavailability(worker, outOfServiceDataCentres, nowMs);
      if (cause.isEmpty()) {
        free = free.plus(worker.freeCapacity());
      } else {
        unavailable.merge(cause, 1, Integer::sum);
      }
    }
    return new PoolState(
        pool.size(), unavailable, free, capacity, startsInFlight, runs, doubtfulRuns, doubtful);
  }

  /** Returns why a worker takes no tasks; empty if it does. */
  static String causeOfUnavailability(
      Worker worker, Set<String> outOfServiceDataCentres, long nowMs) {
    if (!worker.isListed) {
      return "not-listed";
    } else if (worker.listing.isDraining()) {
      return "draining";
    } else if (worker.isCordoned) {
      return "cordoned";
    } else if (outOfServiceDataCentres.contains(worker.listing.dataCentre())) {
      return "out-of-service";
    } else if (worker.missedReports > 0) {
      return "silent";
    } else if (!worker.isFenced) {
      return "unreported";
    } else if (!worker.isEnrolled) {
      return "not-enrolled";
    } else if (worker.health.isBlocked(nowMs)) {
      return "failing";
    } else {
      return worker.blockedUntilMs > nowMs ? "refusing" : "";
    }
  }

  /** Returns the fields of a log line. */
  String fields() {
    return "workers="
        + workers
        + " unavailable="
        + (unavailable.isEmpty()
            ? "-"
            : unavailable.entrySet().stream()
                .map(entry -> entry.getKey() + ':' + entry.getValue())
                .collect(Collectors.joining(",")))
        + " free="
        + text(free)
        + " capacity="
        + text(capacity)
        + " starts_in_flight="
        + startsInFlight
        + " runs="
        + runs
        + " doubtful_runs="
        + doubtfulRuns
        + " doubtful="
        + text(doubtful);
  }

  /** Returns millicores, megabytes and GPUs, separated by slashes. */
  static String text(Resources amount) {
    return amount.cpuMillis() + "/" + amount.memoryMb() + '/' + amount.gpus();
  }
}
