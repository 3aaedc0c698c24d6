package org.laburnumarch.internal.platform.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.platform.Json;

/** Writes a settings file as the platform passes it to a daemon. */
public final class DaemonSettingsFile {

  /**
   * The addresses at which a daemon listens and those that it connects to.
   *
   * @param name the daemon's name
   * @param ip the loopback IP address that it listens on
   * @param linkHost name or address under which other daemons find it
   * @param callersPort port for callers
   * @param readinessPort port of the readiness check
   * @param linkPort port for other daemons; metrics are served at the next port
   * @param storeAddress address of the store
   * @param instanceServiceAddress address of the instance service
   */
  public record DaemonAddresses(
      String name,
      String ip,
      String linkHost,
      int callersPort,
      int readinessPort,
      int linkPort,
      InetSocketAddress storeAddress,
      InetSocketAddress instanceServiceAddress) {

    /** Creates the addresses of a daemon that others find under its IP address. */
    public DaemonAddresses(
        String name,
        String ip,
        int callersPort,
        int readinessPort,
        int linkPort,
        InetSocketAddress storeAddress,
        InetSocketAddress instanceServiceAddress) {
      this(
          name, ip, ip, callersPort, readinessPort, linkPort, storeAddress, instanceServiceAddress);
    }
  }

  private DaemonSettingsFile() {}

  /**
   * Writes the file for a daemon of a small platform.
   *
   * @throws IOException if it cannot be written
   */
  public static void write(Path file, DaemonAddresses addresses) throws IOException {
    write(file, addresses, "north", 200);
  }

  /**
   * Writes the file.
   *
   * @param dataCentre data centre that the daemon runs in
   * @param stopTimeoutMs longest time that stopping a run takes
   * @throws IOException if it cannot be written
   */
  public static void write(
      Path file, DaemonAddresses addresses, String dataCentre, long stopTimeoutMs)
      throws IOException {
    Map<String, Object> root = new LinkedHashMap<>();
    root.put("node", addresses.name());
    root.put("zone", dataCentre);
    root.put("ip", addresses.linkHost());
    root.put(
        "listen",
        Map.of(
            "front", addresses.ip() + ':' + addresses.callersPort(),
            "ready", addresses.ip() + ':' + addresses.readinessPort()));
    root.put("internalPorts", List.of(addresses.linkPort(), addresses.linkPort() + 1));
    root.put("limits", Map.of("cpuShare", 1.0, "linkMbps", 1000.0));
    root.put("heartbeatMs", 1_500);
    root.put(
        "bounds",
        Map.of(
            "maxHoldMs", 6_000,
            "stopTimeoutMs", stopTimeoutMs,
            "gangTimeoutMs", 3_000,
            "graceS", 6,
            "status_s", 120,
            "noticeMs", 4_500,
            "remotePenalty", 3,
            "restoreMs", 600,
            "migrateS", 1.5,
            "maintenanceS", 2));
    root.put("platform", Map.of("address", HttpBodies.formatAddress(addresses.storeAddress())));
    root.put(
        "cloud", Map.of("address", HttpBodies.formatAddress(addresses.instanceServiceAddress())));
    Files.write(file, Json.encode(root));
  }
}
