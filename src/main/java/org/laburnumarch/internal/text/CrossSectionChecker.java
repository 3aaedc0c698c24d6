package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.SortedMap;
import java.util.Locale;
import org.laburnumarch.ResultCode;

/** Checks references between sections, dependency cycles and limits that span sections. */
final class CrossSectionChecker {

  // Shares are decimal fractions; rounding in binary can lift their sum slightly above one.
  private static final double SHARE_SUM_TOLERANCE = 1e-9;
  private static final int MAX_NAMES_IN_MESSAGE = 8;

  private final FleetText text;
  private final TextFaults faults;

  CrossSectionChecker(FleetText text, TextFaults faults) {
    this.text = text;
    this.faults = faults;
  }

  void check() {
    checkFleet();
    text.racks().values().forEach(this::checkRack);
    text.pools().values().forEach(this::checkPool);
    text.services().values().forEach(this::checkService);
    checkCycles();
    checkShares();
  }

  private void checkFleet() {
    String spare = text.fleet().sparePool();
    checkName(SectionKind.FLEET.sectionOf(""), "spare-pool", SectionKind.POOL, spare, text.pools());
  }

  private void checkRack(RackSpec rack) {
    checkName(
        SectionKind.RACK.sectionOf(rack.name()),
        "data-centre",
        SectionKind.DATA_CENTRE,
        rack.dataCentre(),
        text.dataCentres());
  }

  private void checkPool(PoolSpec pool) {
    int seats = text.fleet().maxSeats();
    if (pool.connectionsPerMinion() < seats) {
      faults.add(
          SectionKind.POOL.sectionOf(pool.name()),
          "connections-per-minion",
          ResultCode.VALUE_OUT_OF_RANGE,
          pool.connectionsPerMinion() + " connections are fewer than the " + seats + " seats",
          "raise connections-per-minion or lower max-seats in [fleet] so that each seat gets one");
    }
  }

  private void checkService(ServiceSpec service) {
    String section = SectionKind.SERVICE.sectionOf(service.name());
    checkName(section, "pool", SectionKind.POOL, service.pool(), text.pools());
    checkName(section, "queue", SectionKind.QUEUE, service.queue(), text.queues());
    for (String dependency : service.dependsOn()) {
      checkName(section, "depends-on", SectionKind.SERVICE, dependency, text.services());
    }
    if (service.minAvailableCount() > service.neededCount()) {
      faults.add(
          section,
          "min-available",
          ResultCode.BUDGET_UNSATISFIABLE,
          service.minAvailableCount() + " is more than needed = " + service.neededCount(),
          "lower min-available or raise needed");
    }
  }

  private void checkName(
      String section, String key, SectionKind kind, String name, SortedMap<String, ?> known) {
    if (name.isEmpty() || known.containsKey(name)) {
      return;
    }
    faults.add(
        section,
        key,
        ResultCode.UNKNOWN_NAME,
        "no " + kind.displayName() + " is named \"" + name + "\"",
        remedyOf(kind, name, known.keySet()));
  }

  private static String remedyOf(SectionKind kind, String name, Set<String> known) {
    String add = "add a section [" + kind.sectionOf(name) + "]";
    if (known.isEmpty()) {
      return add;
    }
    String more = known.size() > MAX_NAMES_IN_MESSAGE ? ", ..." : "";
    return "use one of " + known.take(MAX_NAMES_IN_MESSAGE).mkString(", ") + more + ", or " + add;
  }

  private void checkCycles() {
    for (Seq<String> cycle : DependencyCycles.findAll(text.services())) {
      faults.add(
          SectionKind.SERVICE.sectionOf(cycle.head()),
          "depends-on",
          ResultCode.DEPENDENCY_CYCLE,
          "the services depend on each other: " + cycle.append(cycle.head()).mkString(" -> "),
          "remove one of these dependencies");
    }
  }

  private void checkShares() {
    double sum = text.teams().values().map(TeamSpec::shareFraction).sum().doubleValue();
    if (sum > 1 + SHARE_SUM_TOLERANCE) {
      String largest = text.teams().values().maxBy(TeamSpec::shareFraction).get().name();
      faults.add(
          SectionKind.TEAM.sectionOf(largest),
          "share",
          ResultCode.SHARES_EXCEED_ONE,
          String.format(Locale.ROOT, "the shares of all teams add up to %.4f", sum),
          "lower shares until they add up to at most 1; this team has the largest");
    }
  }
}
