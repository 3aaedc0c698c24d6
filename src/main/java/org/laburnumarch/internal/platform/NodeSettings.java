package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The settings that the platform passes to a daemon at its start. Times are upper bounds that the
 * users set, in milliseconds.
 *
 * @param name this daemon's name
 * @param dataCentre data centre in which the daemon runs
 * @param ip IP address of the daemon's instance
 * @param callerAddress address on which to listen for callers
 * @param readinessAddress address on which to listen for the platform's readiness checks
 * @param linkPort port for connections between daemons, free on every instance
 * @param metricsPort port for this daemon's own metrics
 * @param storeAddress address of the platform's store
 * @param machineServiceAddress address of the service that moves and maintains instances, if there
 *     is one
 * @param advisorAddress address of the advisory service, if there is one
 * @param isFirstStart whether the whole system starts for the first time
 * @param cpuShare processor time that the process may use per second, in seconds of one core
 * @param linkMbps speed of the instance's network link in Mbit/s
 * @param maxLeaseMs longest lease that a worker grants
 * @param maxStopMs longest time that a worker takes to stop a task
 * @param gangTimeoutMs longest time that a task of a gang waits for the other tasks to start
 * @param shutdownTimeoutMs time from SIGTERM to SIGKILL
 * @param statusRetentionMs how long the status of a finished job must stay available
 * @param unavailableNoticeMs how long a task still counts as unavailable after it is available
 *     again
 * @param registryWriteIntervalMs how often workers write to the registry
 * @param remoteSlowdownFactor factor by which the run time of a task grows on another rack than its
 *     data's
 * @param restoreMs time that a task takes to resume from a checkpoint
 * @param moveMs time that the move of an instance takes
 * @param maintenanceMs time that the maintenance of an instance takes
 * @param maxRecordBytes size of the largest record that the store accepts
 * @param maxWriteBytes size of all records in one write that the store accepts
 */
public record NodeSettings(
    String name,
    String dataCentre,
    String ip,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    int linkPort,
    int metricsPort,
    InetSocketAddress storeAddress,
    Optional<InetSocketAddress> machineServiceAddress,
    Optional<InetSocketAddress> advisorAddress,
    boolean isFirstStart,
    double cpuShare,
    double linkMbps,
    long maxLeaseMs,
    long maxStopMs,
    long gangTimeoutMs,
    long shutdownTimeoutMs,
    long statusRetentionMs,
    long unavailableNoticeMs,
    long registryWriteIntervalMs,
    double remoteSlowdownFactor,
    long restoreMs,
    long moveMs,
    long maintenanceMs,
    int maxRecordBytes,
    int maxWriteBytes) {

  /** Environment variable that holds the path of the settings file. */
  public static final String PATH_VARIABLE = "LABURNUMARCH_SETTINGS";

  private static final long MS_PER_S = 1_000;
  private static final int DEFAULT_RECORD_BYTES = 262_144;
  private static final int DEFAULT_WRITE_BYTES = 2_097_152;

  /**
   * Reads the settings file.
   *
   * @throws IOException if the file cannot be read
   * @throws MalformedMessageException if a field is missing or has the wrong type
   */
  public static NodeSettings read(Path file) throws IOException, MalformedMessageException {
    return parse(Files.readAllBytes(file));
  }

  /**
   * Parses the content of a settings file. Unknown fields are ignored.
   *
   * @throws MalformedMessageException if a field is missing or has the wrong type
   */
  public static NodeSettings parse(byte[] content) throws MalformedMessageException {
    JsonNode root = Json.parse(content);
    JsonNode listen = section(root, "listen");
    JsonNode limits = section(root, "limits");
    JsonNode bounds = section(root, "bounds");
    JsonNode ports = root.get("internalPorts");
    if (ports == null || !ports.isArray() || ports.size() < 2) {
      throw new MalformedMessageException("internalPorts must be a list of two ports");
    }
    return new NodeSettings(
        Json.text(root, "node"),
        Json.text(root, "zone"),
        Json.text(root, "ip"),
        Json.address(Json.text(listen, "front")),
        Json.address(Json.text(listen, "ready")),
        ports.get(0).intValue(),
        ports.get(0).intValue() + 1,
        Json.address(Json.text(section(root, "platform"), "address")),
        optionalAddress(root.path("cloud").path("address")),
        optionalAddress(root.path("advice")),
        Json.flag(root, "bootstrap"),
        Json.decimalOr(limits, "cpuShare", 1) * Json.decimalOr(limits, "cores", 1),
        Json.decimalOr(limits, "linkMbps", 1_000),
        Json.number(bounds, "maxHoldMs"),
        Json.number(bounds, "stopTimeoutMs"),
        Json.number(bounds, "gangTimeoutMs"),
        (long) (Json.decimalOr(bounds, "graceS", 6) * MS_PER_S),
        (long) (Json.decimalOr(bounds, "status_s", 120) * MS_PER_S),
        Json.numberOr(bounds, "noticeMs", 0),
        Json.numberOr(root, "heartbeatMs", 1_500),
        Json.decimalOr(bounds, "remotePenalty", 1),
        Json.numberOr(bounds, "restoreMs", 0),
        (long) (Json.decimalOr(bounds, "migrateS", 2) * MS_PER_S),
        (long) (Json.decimalOr(bounds, "maintenanceS", 2) * MS_PER_S),
        (int) Json.numberOr(section(root, "platform"), "recordBytes", DEFAULT_RECORD_BYTES),
        (int) Json.numberOr(section(root, "platform"), "callBytes", DEFAULT_WRITE_BYTES));
  }

  private static JsonNode section(JsonNode root, String field) throws MalformedMessageException {
    JsonNode value = root.get(field);
    if (value == null || !value.isObject()) {
      throw new MalformedMessageException(field + " must be a JSON object");
    }
    return value;
  }

  private static Optional<InetSocketAddress> optionalAddress(JsonNode node)
      throws MalformedMessageException {
    return node.isTextual() && !node.textValue().isEmpty()
        ? Optional.of(Json.address(node.textValue()))
        : Optional.empty();
  }
}
