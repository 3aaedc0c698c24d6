package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Finds cycles of service dependencies by an iterative depth-first search. A recursive search would
 * overflow the thread's stack on the longest chain that fits into a configuration text.
 */
final class DependencyCycles {

  private final SortedMap<String, ServiceSpec> services;
  private final Set<String> finished = new HashSet<>();
  private final List<String> path = new ArrayList<>();
  private final Set<String> onPath = new HashSet<>();
  private final Deque<Iterator<String>> pendingDependencies = new ArrayDeque<>();
  private Vector<Seq<String>> cycles = Vector.empty();

  private DependencyCycles(SortedMap<String, ServiceSpec> services) {
    this.services = services;
  }

  /** Returns one cycle per dependency that closes a cycle, each as its services in call order. */
  static Vector<Seq<String>> findAll(SortedMap<String, ServiceSpec> services) {
    DependencyCycles search = new DependencyCycles(services);
    services.keySet().forEach(search::searchFrom);
    return search.cycles;
  }

  private void searchFrom(String start) {
    enter(start);
    while (!pendingDependencies.isEmpty()) {
      if (pendingDependencies.peek().hasNext()) {
        enter(pendingDependencies.peek().next());
      } else {
        leave();
      }
    }
  }

  private void enter(String service) {
    if (onPath.contains(service)) {
      cycles = cycles.append(Vector.ofAll(path.subList(path.indexOf(service), path.size())));
    } else if (services.containsKey(service) && !finished.contains(service)) {
      path.add(service);
      onPath.add(service);
      pendingDependencies.push(services.get(service).get().dependsOn().iterator());
    }
  }

  private void leave() {
    pendingDependencies.pop();
    String service = path.remove(path.size() - 1);
    onPath.remove(service);
    finished.add(service);
  }
}
