package org.laburnumarch.internal.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.tinylog.Logger;

/** Metrics of the request path. */
final class EntryMetrics {
  private static final String PREFIX = "laburnumarch_entry_";

  private final Map<ResultCode, Counter> replies = new EnumMap<>(ResultCode.class);
  private final Timer requestTime;
  private final Timer waitTime;
  private final Counter retries;
  private final MetricRegistry registry;

  EntryMetrics(MetricRegistry registry) {
    this.registry = registry;
    for (ResultCode code : ResultCode.values()) {
      replies.put(code, registry.counter(PREFIX + "answers_requests_total{code=\"" + code + "\"}"));
    }
    requestTime = timer("request_seconds");
    waitTime = timer("wait_seconds");
    retries = registry.counter(PREFIX + "retries_requests_total");
  }

  /** Registers gauges for the running and the queued requests. */
  void registerDemand(Supplier<List<PoolDemand>> demand) {
    registerSum("running_requests", demand, PoolDemand::running);
    registerSum("queued_requests", demand, PoolDemand::queued);
  }

  void recordReply(ResultCode code, long durationMs) {
    replies.get(code).inc();
    requestTime.update(durationMs, TimeUnit.MILLISECONDS);
  }

  void recordWait(long durationMs) {
    waitTime.update(durationMs, TimeUnit.MILLISECONDS);
  }

  void countRetry() {
    retries.inc();
  }

  void recordBreach(InvariantBreachException breach) {
    Counter breaches =
        registry.counter(PREFIX + "breaches_count_total{code=\"" + breach.code() + "\"}");
    breaches.inc();
    // Logs only breaches 1, 2, 4, 8 and so on, so that a lasting fault does not fill the log; the
    // counter has the total.
    if (Long.bitCount(breaches.getCount()) == 1) {
      Logger.error(
          "entry: refused a step that breaks an invariant, {} so far with this code: {}",
          breaches.getCount(),
          breach.getMessage());
    }
  }

  private Timer timer(String name) {
    return registry.timer(
        PREFIX + name, () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  private void registerSum(
      String name, Supplier<List<PoolDemand>> demand, ToIntFunction<PoolDemand> count) {
    registry.gauge(
        PREFIX + name, () -> (Gauge<Integer>) () -> demand.get().stream().mapToInt(count).sum());
  }
}
