package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.function.Consumer;
import org.laburnumarch.spi.InstanceList;
import org.laburnumarch.spi.ListedInstance;

/** Polls the platform's instance list and keeps the last answer. */
final class InstanceWatcher {
  private static final long POLL_PAUSE_MS = 2_000;

  private final CoreLoop core;
  private final InstanceList list;
  private final Consumer<List<ListedInstance>> onList;
  private volatile List<ListedInstance> last = List.of();
  private final FaultReport reads;

  InstanceWatcher(
      CoreLoop core,
      InstanceList list,
      DaemonMetrics metrics,
      Consumer<List<ListedInstance>> onList) {
    this.core = core;
    this.list = list;
    this.onList = onList;
    this.reads =
        new FaultReport(metrics.counter("instances.failed.reads"), "instances: Reading the list");
  }

  /** Starts polling; on the core loop. */
  void poll() {
    var unused =
        list.fetch()
            .whenComplete(
                (instances, failure) -> core.execute(() -> takeAnswer(instances, failure)));
  }

  private void takeAnswer(List<ListedInstance> instances, Throwable failure) {
    if (failure == null) {
      reads.succeeded();
      last = List.copyOf(instances);
      onList.accept(last);
    } else {
      reads.failed(failure);
    }
    core.schedule(POLL_PAUSE_MS, this::poll);
  }

  /** Returns the last list that was read; may be called by any thread. */
  List<ListedInstance> last() {
    return last;
  }
}
