package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.function.Consumer;
import org.laburnumarch.spi.InstanceList;
import org.laburnumarch.spi.ListedInstance;

/** Polls the platform's instance list and keeps the last list read. */
final class InstancePoller {
  private static final long POLL_PAUSE_MS = 2_000;

  private final CoreLoop core;
  private final InstanceList list;
  private final Consumer<List<ListedInstance>> onList;
  private volatile List<ListedInstance> lastList = List.of();
  private final FaultTracker readFaults;

  InstancePoller(
      CoreLoop core,
      InstanceList list,
      DaemonMetrics metrics,
      Consumer<List<ListedInstance>> onList) {
    this.core = core;
    this.list = list;
    this.onList = onList;
    this.readFaults =
        new FaultTracker(metrics.counter("instances.failed.reads"), "instances: Reading the list");
  }

  /** Reads the list once and schedules the next poll; on the core loop. */
  void poll() {
    var unused =
        list.fetch()
            .whenComplete(
                (instances, failure) -> core.execute(() -> onResponse(instances, failure)));
  }

  private void onResponse(List<ListedInstance> instances, Throwable failure) {
    if (failure == null) {
      readFaults.onSuccess();
      lastList = List.copyOf(instances);
      onList.accept(lastList);
    } else {
      readFaults.onFailure(failure);
    }
    core.schedule(POLL_PAUSE_MS, this::poll);
  }

  /** Returns the last list read, empty before the first; may be called by any thread. */
  List<ListedInstance> lastList() {
    return lastList;
  }
}
