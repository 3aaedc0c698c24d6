package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** All workers that the registry lists or that may still run something. */
final class WorkerTable {

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private Map<String, List<Worker>> pools = Map.of();
  private boolean isRegistryRead;

  Worker find(String id) {
    return workers.get(id);
  }

  Collection<Worker> all() {
    return workers.values();
  }

  /** Returns the workers of a service's pool. */
  List<Worker> pool(String service) {
    return pools.getOrDefault(service, List.of());
  }

  /** Returns the workers of the pools of some services, or all workers if none is given. */
  Stream<Worker> poolsOrAll(Set<String> services) {
    return services.isEmpty()
        ? workers.values().stream()
        : services.stream().flatMap(service -> pool(service).stream());
  }

  /** Adds a worker that an earlier owner may have given orders to. */
  void addEnrolled(WorkerListing listing) {
    Worker worker = workers.computeIfAbsent(listing.id(), id -> new Worker(listing));
    worker.isEnrolled = true;
    worker.isListed = false;
    rebuildPools();
  }

  /** Replaces the listings by those of the registry. */
  void updateListings(Collection<WorkerListing> listings) {
    isRegistryRead = true;
    workers.values().forEach(worker -> worker.isListed = false);
    for (WorkerListing listing : listings) {
      Worker worker = workers.computeIfAbsent(listing.id(), id -> new Worker(listing));
      worker.listing = listing;
      worker.isListed = true;
    }
    rebuildPools();
  }

  /**
   * Removes workers that the registry no longer lists and on which nothing can be running.
   *
   * @return the removed workers
   */
  List<Worker> removeUnlisted(TakeoverGuard takeoverGuard, long nowMs) {
    List<Worker> removed = new ArrayList<>();
    if (!isRegistryRead) {
      return removed;
    }
    for (Worker worker : workers.values()) {
      boolean isIdle =
          !takeoverGuard.isUnreported(worker, nowMs)
              || (worker.isLeaseExpired(nowMs) && takeoverGuard.isOver(this, nowMs));
      if (!worker.isListed
          && worker.attempts.isEmpty()
          && !worker.ends.hasUnacknowledged()
          && isIdle) {
        removed.add(worker);
      }
    }
    if (!removed.isEmpty()) {
      removed.forEach(worker -> workers.remove(worker.id));
      rebuildPools();
    }
    return removed;
  }

  /**
   * Takes a worker out of its pool because its process has ended.
   *
   * @param listedUntilMs local time until which the registry may list an ended worker
   */
  void markTerminated(Worker worker, long listedUntilMs) {
    worker.isTerminated = true;
    worker.isEnrolled = false;
    worker.terminatedUntilMs = listedUntilMs;
    rebuildPools();
  }

  /** Uses workers again that count as terminated although the registry goes on listing them. */
  void reviveListed(long nowMs) {
    boolean isAnyBack = false;
    for (Worker worker : workers.values()) {
      if (worker.isTerminated && worker.isListed && nowMs > worker.terminatedUntilMs) {
        worker.isTerminated = false;
        isAnyBack = true;
      }
    }
    if (isAnyBack) {
      rebuildPools();
    }
  }

  /** Rebuilds the pools after a change of the workers or of their state. */
  void rebuildPools() {
    Map<String, List<Worker>> built = new LinkedHashMap<>();
    for (Worker worker : workers.values()) {
      if (worker.isTerminated) {
        continue;
      }
      built.computeIfAbsent(worker.listing.service(), service -> new ArrayList<>()).add(worker);
    }
    pools = built;
  }
}
