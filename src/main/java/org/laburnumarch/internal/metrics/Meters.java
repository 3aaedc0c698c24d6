package org.laburnumarch.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The counters, latency histograms and gauges of one process, by name. The unit is the last part of
 * a name, before {@code _total}. Used on one thread, apart from {@link #render}.
 */
public final class Meters {

  private static final String PREFIX = "laburnumarch_";

  private final MetricRegistry registry = new MetricRegistry();

  /** Counters by name and label, so that an increment builds no strings. */
  private final Map<String, Map<String, Counter>> counters = new HashMap<>();

  private final Map<String, Timer> timers = new HashMap<>();

  /**
   * Counts one event.
   *
   * @param name name of the counter, such as {@code orders_total}
   * @param label kind of the event; the number of distinct values must be small
   */
  public void count(String name, String label) {
    add(name, label, 1);
  }

  /**
   * Adds to a counter, such as one of bytes.
   *
   * @param name name of the counter
   * @param label kind of what is counted; the number of distinct values must be small
   * @param amount what is added
   */
  public void add(String name, String label, long amount) {
    counters
        .computeIfAbsent(name, ignored -> new HashMap<>())
        .computeIfAbsent(label, kind -> registry.counter(PREFIX + name + "{kind=\"" + kind + "\"}"))
        .inc(amount);
  }

  /**
   * Records a duration in a latency histogram.
   *
   * @param name name of the histogram, which ends with {@code _seconds}
   * @param durationMs the duration, in milliseconds
   */
  public void recordDuration(String name, long durationMs) {
    timers
        .computeIfAbsent(
            name,
            key ->
                registry.timer(
                    PREFIX + key,
                    () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build())))
        .update(durationMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Registers a gauge that is read whenever the metrics are rendered; replaces one of that name.
   */
  public void registerGauge(String name, Supplier<Number> value) {
    registry.remove(PREFIX + name);
    registry.gauge(PREFIX + name, () -> (Gauge<Number>) value::get);
  }

  /** Returns all metrics in the text exposition format. */
  public String render() {
    return ExpositionText.render(registry);
  }
}
