package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.QueueConfig.AdviceTimes;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.job.TeamConfig;
import org.laburnumarch.internal.pool.MaintenanceWave;
import org.laburnumarch.internal.schedule.WorkerListing;

/** Decodes the records that operators and workers write to the store, and encodes wave status. */
public final class StoreRecords {

  /** Key of the configuration. */
  public static final String CONFIG_KEY = "config";

  /** Prefix of the keys that name a data centre taken out of service. */
  public static final String EVACUATION_PREFIX = "evacuate/";

  /** Prefix of the keys of maintenance waves and of their status. */
  public static final String WAVE_PREFIX = "wave/";

  private static final String DRAINING = "draining";
  private static final String READY = "ready";

  /** An id becomes part of a header of each request to its worker. */
  private static final Pattern WORKER_ID = Pattern.compile("[!-~]+");

  /** Largest amount of a worker's capacity; sums over all workers stay far below 64 bits. */
  private static final long MAX_AMOUNT = 1_000_000_000_000L;

  private static final Resources MAX_CAPACITY = new Resources(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT);

  private StoreRecords() {}

  /** Decodes the configuration. */
  public static FleetConfig decodeConfig(byte[] value) throws MalformedMessageException {
    JsonNode root = Json.parse(value);
    List<QueueConfig> queues = new ArrayList<>();
    for (JsonNode node : root.path("routes")) {
      queues.add(queue(node));
    }
    List<ServiceConfig> services = new ArrayList<>();
    for (JsonNode node : root.path("services")) {
      services.add(
          new ServiceConfig(
              Json.text(node, "name"),
              Json.flag(node, "rejectsOverload"),
              Json.flag(node, "spare"),
              Json.textOr(node, "healthPath", "/health")));
    }
    List<TeamConfig> teams = new ArrayList<>();
    for (JsonNode node : root.path("tenants")) {
      teams.add(team(node));
    }
    JsonNode limits = root.path("limits");
    return new FleetConfig(
        Json.number(root, "version"),
        queues,
        services,
        teams,
        new CallerLimits(
            (int) Json.numberOr(limits, "bodyBytes", CallerLimits.DEFAULT.bodyBytes()),
            Json.numberOr(limits, "idleTimeoutMs", CallerLimits.DEFAULT.idleTimeoutMs())));
  }

  private static QueueConfig queue(JsonNode node) throws MalformedMessageException {
    JsonNode advice = node.path("advice");
    return new QueueConfig(
        Json.text(node, "name"),
        Json.text(node, "host"),
        Json.text(node, "pathPrefix"),
        Json.text(node, "service"),
        (int) Json.numberOr(node, "priority", 0),
        (int) Json.numberOr(node, "maxAttempts", 1),
        Json.decimalOr(node, "stretch", 1),
        Json.numberOr(node, "targetLatencyMs", 0),
        Json.flag(node, "public"),
        advice.isObject()
            ? Optional.of(
                new AdviceTimes(
                    Json.numberOr(advice, "decisionMs", 0),
                    Json.numberOr(advice, "intervalMs", 0),
                    Json.numberOr(advice, "validityMs", 0)))
            : Optional.empty());
  }

  private static TeamConfig team(JsonNode node) throws MalformedMessageException {
    Set<String> keys = new HashSet<>();
    for (JsonNode key : node.path("apiKeys")) {
      keys.add(key.asText());
    }
    return new TeamConfig(
        Json.text(node, "name"),
        keys,
        Json.decimalOr(node, "weight", 1),
        node.path("maxCount").isObject() ? resources(node.path("maxCount")) : Resources.NONE);
  }

  static Resources resources(JsonNode node) throws MalformedMessageException {
    return new Resources(
        Json.numberOr(node, "cpu", 0),
        Json.numberOr(node, "memMb", 0),
        Json.numberOr(node, "gpus", 0));
  }

  /** Decodes a maintenance wave. */
  public static MaintenanceWave decodeWave(byte[] value) throws MalformedMessageException {
    JsonNode root = Json.parse(value);
    Set<String> machines = new LinkedHashSet<>();
    for (JsonNode machine : root.path("machines")) {
      machines.add(machine.asText());
    }
    return new MaintenanceWave(
        Json.number(root, "wave"),
        machines,
        (long) (Json.decimalOr(root, "completeByS", 0) * 1_000),
        (int) Json.numberOr(root, "maxCount", 1));
  }

  /** Encodes the status of a maintenance wave for the operators. */
  public static byte[] encodeWaveStatus(boolean isCompleted) {
    return Json.encode(Json.object().put("state", isCompleted ? "completed" : "running"));
  }

  /**
   * Decodes a worker's entry in the registry.
   *
   * @param id the entry's key, which is the worker's id; the value does not repeat it
   * @param value the entry
   * @throws MalformedMessageException if the entry is malformed, for example because a process that
   *     is not a worker wrote it
   */
  public static WorkerListing decodeWorker(String id, byte[] value)
      throws MalformedMessageException {
    if (!WORKER_ID.matcher(id).matches()) {
      throw new MalformedMessageException("the id must be a word of ASCII characters");
    }
    JsonNode root = Json.parse(value);
    String state = Json.text(root, "state");
    if (!state.equals(READY) && !state.equals(DRAINING)) {
      throw new MalformedMessageException("unknown worker state " + state);
    }
    return new WorkerListing(
        id,
        Json.text(root, "service"),
        Json.address(Json.text(root, "address")),
        Json.text(root, "zone"),
        capacity(root),
        labels(root),
        state.equals(DRAINING),
        Json.numberOr(root, "remainingMs", 0),
        Json.numberOr(root, "born", 0));
  }

  private static Resources capacity(JsonNode root) throws MalformedMessageException {
    JsonNode node = root.path("capacity");
    if (!node.isObject()) {
      throw new MalformedMessageException("capacity must be a JSON object");
    }
    Resources capacity = resources(node);
    if (!MAX_CAPACITY.holds(capacity) || !capacity.holds(Resources.NONE)) {
      throw new MalformedMessageException("capacity must be from 0 to " + MAX_AMOUNT);
    }
    return capacity;
  }

  private static List<String> labels(JsonNode root) throws MalformedMessageException {
    if (Json.isAbsent(root, "labels")) {
      return List.of();
    }
    JsonNode node = root.get("labels");
    if (!node.isArray()) {
      throw new MalformedMessageException("labels must be a list");
    }
    List<String> labels = new ArrayList<>();
    for (JsonNode label : node) {
      if (!label.isTextual()) {
        throw new MalformedMessageException("labels must be texts");
      }
      labels.add(label.textValue());
    }
    return labels;
  }
}
