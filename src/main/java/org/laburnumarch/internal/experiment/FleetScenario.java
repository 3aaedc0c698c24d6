package org.laburnumarch.internal.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.state.RecordBody.InstanceAdded;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.FleetTextParser;
import org.laburnumarch.internal.text.ParsedText;
import org.laburnumarch.internal.text.ServiceSpec;
import org.laburnumarch.internal.text.TextSections;

/**
 * A configuration text and the instances in its data centres.
 *
 * @param poolSizes number of instances in each pool
 */
record FleetScenario(TextSections sections, FleetText text, Map<String, Integer> poolSizes) {

  /**
   * Parses a configuration text. Each pool gets the fewest instances with which its services
   * survive the loss of any data centre.
   */
  static FleetScenario of(String ini) {
    ParsedText parsed = new FleetTextParser().parse(ini).get();
    FleetText text = parsed.fleet();
    Map<String, Integer> sizes = new LinkedHashMap<>();
    for (String pool : text.pools().keySet()) {
      sizes.put(pool, minSizeFor(needed(text, pool), text.dataCentres().size()));
    }
    return new FleetScenario(parsed.sections(), text, sizes);
  }

  static int needed(FleetText text, String pool) {
    return text.services()
        .values()
        .filter(service -> service.pool().equals(pool))
        .map(ServiceSpec::neededCount)
        .sum()
        .intValue();
  }

  /**
   * Returns the smallest number of evenly spread instances of which {@code needed} remain after the
   * loss of any data centre.
   */
  static int minSizeFor(int needed, int dataCentreCount) {
    int size = needed;
    while (needed > 0 && size - (size + dataCentreCount - 1) / dataCentreCount < needed) {
      size++;
    }
    return size;
  }

  int neededCount() {
    return text.pools().keySet().toJavaList().stream().mapToInt(pool -> needed(text, pool)).sum();
  }

  int size() {
    return poolSizes.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the instances of all pools, spread evenly over data centres and racks. */
  List<InstanceAdded> instances() {
    List<InstanceAdded> instances = new ArrayList<>();
    poolSizes.forEach(
        (pool, size) -> {
          for (int i = 0; i < size; i++) {
            instances.add(instance(instances.size(), pool));
          }
        });
    return instances;
  }

  /** Returns {@code count} instances, all in the spare pool. */
  List<InstanceAdded> unassigned(int count) {
    List<InstanceAdded> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(instance(i, text.fleet().sparePool()));
    }
    return instances;
  }

  /**
   * Returns the instance with a number, which determines its data centre and rack. A rack has four
   * instances.
   */
  InstanceAdded instance(int number, String pool) {
    int dataCentreCount = text.dataCentres().size();
    String dataCentre = text.dataCentres().keySet().toJavaList().get(number % dataCentreCount);
    int inDataCentre = number / dataCentreCount;
    return new InstanceAdded(
        "i%04d".formatted(number),
        pool,
        dataCentre,
        dataCentre + "-r" + (inDataCentre / 4 + 1),
        "10.0.%d.%d:80".formatted(number / 250, number % 250 + 1));
  }
}
