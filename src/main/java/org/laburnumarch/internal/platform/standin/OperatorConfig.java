package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.platform.Json;

/** The configuration that the stand-in's operators write. */
final class OperatorConfig {

  private OperatorConfig() {}

  /**
   * Encodes a version of the configuration.
   *
   * @param hasExtraRoute whether it has a queue that nobody uses
   */
  static byte[] encode(long version, boolean hasExtraRoute) {
    List<Map<String, Object>> routes = new ArrayList<>();
    routes.add(route(PlatformStandIn.BATCH_QUEUE, PlatformStandIn.BATCH_POOL));
    routes.add(route(PlatformStandIn.LONG_RUNNING_QUEUE, PlatformStandIn.LONG_RUNNING_POOL));
    if (hasExtraRoute) {
      routes.add(route("extra", PlatformStandIn.BATCH_POOL));
    }
    return Json.encode(
        Map.of(
            "version",
            version,
            "routes",
            routes,
            "services",
            List.of(
                service(PlatformStandIn.BATCH_POOL, false),
                service(PlatformStandIn.LONG_RUNNING_POOL, false),
                service(PlatformStandIn.SPARE_POOL, true)),
            "tenants",
            PlatformStandIn.TEAMS.stream().map(OperatorConfig::team).toList(),
            "limits",
            Map.of()));
  }

  private static Map<String, Object> route(String name, String service) {
    return Map.of(
        "name",
        name,
        "host",
        PlatformStandIn.HOST,
        "pathPrefix",
        '/' + name + '/',
        "service",
        service,
        "priority",
        0,
        "maxAttempts",
        InvariantChecker.MAX_ATTEMPTS,
        "stretch",
        1.6,
        "targetLatencyMs",
        600);
  }

  private static Map<String, Object> service(String name, boolean isSpare) {
    return Map.of("name", name, "rejectsOverload", true, "spare", isSpare);
  }

  private static Map<String, Object> team(String name) {
    return Map.of(
        "name",
        name,
        "apiKeys",
        List.of(name),
        "weight",
        50,
        "maxCount",
        Map.of("cpu", InvariantChecker.TEAM_CPU_MILLIS, "memMb", 0, "gpus", 0));
  }
}
