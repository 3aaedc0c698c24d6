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
  static byte[] encode(PlatformLayout layout, long version, boolean hasExtraRoute) {
    List<PlatformLayout.Route> routes = new ArrayList<>(layout.routes());
    if (hasExtraRoute) {
      routes.add(new PlatformLayout.Route("extra", routes.get(0).pool(), 0));
    }
    List<Map<String, Object>> services = new ArrayList<>();
    layout.routes().stream()
        .map(PlatformLayout.Route::pool)
        .distinct()
        .forEach(pool -> services.add(service(pool, false)));
    services.add(service(layout.sparePool(), true));
    return Json.encode(
        Map.of(
            "version",
            version,
            "routes",
            routes.stream().map(OperatorConfig::route).toList(),
            "services",
            services,
            "tenants",
            PlatformStandIn.TEAMS.stream().map(name -> team(name, layout.teamCpuMillis())).toList(),
            "limits",
            Map.of()));
  }

  private static Map<String, Object> route(PlatformLayout.Route route) {
    return Map.of(
        "name",
        route.queue(),
        "host",
        PlatformStandIn.HOST,
        "pathPrefix",
        '/' + route.queue() + '/',
        "service",
        route.pool(),
        "priority",
        route.priority(),
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

  private static Map<String, Object> team(String name, long cpuMillis) {
    return Map.of(
        "name",
        name,
        "apiKeys",
        List.of(name),
        "weight",
        50,
        "maxCount",
        Map.of("cpu", cpuMillis, "memMb", 0, "gpus", 0));
  }
}
