package org.laburnumarch.internal.platform.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.platform.Json;

/** The settings file that the platform hands to a daemon. */
public final class DaemonSettingsFile {

  /**
   * Where a daemon listens and whom it reaches where.
   *
   * @param name the daemon's name
   * @param ip the loopback number that it listens on
   * @param callersPort where callers reach it
   * @param readinessPort where it says whether it is ready
   * @param linkPort where other daemons reach it; its metrics are at the next port
   * @param store where it reaches the store
   * @param instances where it reaches the service for instances
   */
  public record Place(
      String name,
      String ip,
      int callersPort,
      int readinessPort,
      int linkPort,
      InetSocketAddress store,
      InetSocketAddress instances) {}

  private DaemonSettingsFile() {}

  /**
   * Writes the file.
   *
   * @throws IOException if it cannot be written
   */
  public static void write(Path file, Place place) throws IOException {
    Map<String, Object> root = new LinkedHashMap<>();
    root.put("node", place.name());
    root.put("zone", "north");
    root.put("ip", place.ip());
    root.put(
        "listen",
        Map.of(
            "front", place.ip() + ':' + place.callersPort(),
            "ready", place.ip() + ':' + place.readinessPort()));
    root.put("internalPorts", List.of(place.linkPort(), place.linkPort() + 1));
    root.put("limits", Map.of("cpuShare", 1.0, "linkMbps", 1000.0));
    root.put("heartbeatMs", 1_500);
    root.put(
        "bounds",
        Map.of(
            "maxHoldMs", 6_000,
            "stopTimeoutMs", 200,
            "gangTimeoutMs", 3_000,
            "graceS", 6,
            "status_s", 120,
            "noticeMs", 4_500,
            "remotePenalty", 3,
            "restoreMs", 600,
            "migrateS", 1.5,
            "maintenanceS", 2));
    root.put("platform", Map.of("address", Replies.text(place.store())));
    root.put("cloud", Map.of("address", Replies.text(place.instances())));
    Files.write(file, Json.bytes(root));
  }
}
