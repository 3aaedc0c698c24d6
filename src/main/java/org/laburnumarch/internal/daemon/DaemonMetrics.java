package org.laburnumarch.internal.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;

/** The daemon's metric registry. Registers the gauges of the process itself. */
final class DaemonMetrics {
  private final MetricRegistry registry = new MetricRegistry();

  DaemonMetrics() {
    Runtime runtime = Runtime.getRuntime();
    gauge("process.heap.used.bytes", () -> runtime.totalMemory() - runtime.freeMemory());
    gauge("process.uptime.milliseconds", () -> ManagementFactory.getRuntimeMXBean().getUptime());
  }

  MetricRegistry registry() {
    return registry;
  }

  Counter counter(String name) {
    return registry.counter(name);
  }

  void gauge(String name, LongSupplier value) {
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }
}
