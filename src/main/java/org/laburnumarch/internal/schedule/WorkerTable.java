package org.laburnumarch.internal.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All workers that are listed, or on which something may still run. */
final class WorkerTable {

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private Map<String, List<Worker>> pools = Map.of();

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

  /** Adds a worker that an earlier owner may have given orders to. */
  void addEnrolled(WorkerListing listing) {
    Worker worker = workers.computeIfAbsent(listing.id(), id -> new Worker(listing));
    worker.isEnrolled = true;
    worker.isListed = false;
    buildPools();
  }

  /** Replaces what the registry lists. */
  void list(Collection<WorkerListing> listings) {
    workers.values().forEach(worker -> worker.isListed = false);
    for (WorkerListing listing : listings) {
      Worker worker = workers.computeIfAbsent(listing.id(), id -> new Worker(listing));
      worker.listing = listing;
      worker.isListed = true;
    }
    buildPools();
  }

  /**
   * Forgets workers that are gone and on which nothing can run any more.
   *
   * @param isTakeoverOver whether nothing of an earlier owner can be running unseen
   */
  void forgetGone(long nowMs, boolean isTakeoverOver) {
    boolean isChanged =
        workers
            .values()
            .removeIf(
                worker ->
                    !worker.isListed
                        && worker.attempts.isEmpty()
                        && worker.isLeaseOver(nowMs)
                        && (worker.isFenced || isTakeoverOver));
    if (isChanged) {
      buildPools();
    }
  }

  private void buildPools() {
    Map<String, List<Worker>> built = new LinkedHashMap<>();
    for (Worker worker : workers.values()) {
      built.computeIfAbsent(worker.listing.service(), service -> new ArrayList<>()).add(worker);
    }
    pools = built;
  }
}
