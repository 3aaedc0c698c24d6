package org.laburnumarch.internal.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Renders a registry in the text exposition format 0.0.4.
 *
 * <p>The unit is the last part of a name, before {@code _total}; labels may follow the name in
 * braces.
 */
public final class ExpositionText {
  /** Content type of the rendered text. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double[] QUANTILES = {0.5, 0.99};

  private ExpositionText() {}

  /** Renders all metrics of a registry. */
  public static String render(MetricRegistry registry) {
    SortedMap<String, SortedMap<String, Metric>> families = new TreeMap<>();
    for (Map.Entry<String, Metric> metric : registry.getMetrics().entrySet()) {
      int brace = metric.getKey().indexOf('{');
      String base = brace < 0 ? metric.getKey() : metric.getKey().substring(0, brace);
      String labels = brace < 0 ? "" : metric.getKey().substring(brace);
      families
          .computeIfAbsent(sanitized(base), b -> new TreeMap<>())
          .put(labels, metric.getValue());
    }
    StringBuilder text = new StringBuilder();
    families.forEach((name, metrics) -> renderFamily(text, name, metrics));
    return text.toString();
  }

  private static void renderFamily(
      StringBuilder text, String name, SortedMap<String, Metric> metrics) {
    Metric first = metrics.get(metrics.firstKey());
    text.append("# HELP ").append(name).append(" Unit: ").append(unit(name)).append(".\n");
    text.append("# TYPE ").append(name).append(' ').append(type(first)).append('\n');
    metrics.forEach((labels, metric) -> renderMetric(text, name, labels, metric));
  }

  private static void renderMetric(StringBuilder text, String name, String labels, Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      line(text, name, labels, gauge.getValue() instanceof Number n ? n.doubleValue() : Double.NaN);
    } else if (metric instanceof Timer timer) {
      summary(text, name, timer, NANOS_PER_SECOND);
    } else if (metric instanceof Histogram histogram) {
      summary(text, name, histogram, 1);
    } else if (metric instanceof Counting counting) {
      line(text, name, labels, (double) counting.getCount());
    }
  }

  private static <M extends Sampling & Counting> void summary(
      StringBuilder text, String name, M metric, double divisor) {
    Snapshot snapshot = metric.getSnapshot();
    for (double quantile : QUANTILES) {
      String label = "{quantile=\"" + quantile + "\"}";
      line(text, name, label, snapshot.getValue(quantile) / divisor);
    }
    line(text, name + "_count", "", (double) metric.getCount());
  }

  private static void line(StringBuilder text, String name, String labels, double value) {
    boolean isWhole = value == Math.rint(value) && Math.abs(value) < 1e15;
    text.append(name).append(labels).append(' ');
    text.append(isWhole ? Long.toString((long) value) : Double.toString(value)).append('\n');
  }

  private static String type(Metric metric) {
    if (metric instanceof Gauge) {
      return "gauge";
    }
    boolean isSummary = metric instanceof Sampling;
    return isSummary ? "summary" : "counter";
  }

  private static String unit(String name) {
    String base = name.endsWith("_total") ? name.substring(0, name.length() - 6) : name;
    return base.substring(base.lastIndexOf('_') + 1);
  }

  private static String sanitized(String name) {
    return name.replaceAll("[^a-zA-Z0-9_:]", "_");
  }
}
