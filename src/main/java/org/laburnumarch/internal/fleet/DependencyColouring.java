package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.ServiceSpec;

/**
 * Colours the graph of dependencies between pools greedily. Pools of one colour do not depend on
 * each other, so their capacity can be reduced at the same time.
 */
final class DependencyColouring {
  private final Map<String, Set<String>> neighbours = new TreeMap<>();
  private final Map<String, Integer> colours = new HashMap<>();

  DependencyColouring(FleetText text) {
    text.pools().keySet().forEach(pool -> neighbours.put(pool, new TreeSet<>()));
    for (ServiceSpec service : text.services().values()) {
      for (String dependency : service.dependsOn()) {
        connect(service.pool(), text.services().get(dependency).get().pool());
      }
    }
    List<String> pools = new ArrayList<>(neighbours.keySet());
    pools.sort(Comparator.comparingInt(pool -> -neighbours.get(pool).size()));
    pools.forEach(this::assignColour);
  }

  private void connect(String left, String right) {
    if (!left.equals(right)) {
      neighbours.get(left).add(right);
      neighbours.get(right).add(left);
    }
  }

  private void assignColour(String pool) {
    Set<Integer> taken = new TreeSet<>();
    neighbours.get(pool).forEach(other -> taken.add(colours.getOrDefault(other, -1)));
    int colour = 0;
    while (taken.contains(colour)) {
      colour++;
    }
    colours.put(pool, colour);
  }

  int colour(String pool) {
    return colours.getOrDefault(pool, 0);
  }

  /** Returns the pools whose capacity must not be reduced together with that of this one. */
  Set<String> neighbours(String pool) {
    return neighbours.getOrDefault(pool, Set.of());
  }
}
