package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.StepSpec;

/** Decodes jobs as callers submit them. */
final class SubmittedJobs {

  /** Maximum length of a job's program text in UTF-8. */
  private static final int MAX_PROGRAM_BYTES = 4_000;

  /**
   * Maximum number of tasks in all steps. The owner holds every task of a due occurrence in memory,
   * and so does each of its successors.
   */
  private static final int MAX_TASKS = 10_000;

  /** Maximum number of occurrences; the stored progress of a job lists each one that is done. */
  private static final int MAX_OCCURRENCES = 10_000;

  private SubmittedJobs() {}

  static JobSpec decode(String id, String queue, String team, byte[] body, long submittedEpochMs)
      throws MalformedMessageException {
    JsonNode root = Json.parse(body);
    String program = Json.text(root, "spec");
    if (program.getBytes(StandardCharsets.UTF_8).length > MAX_PROGRAM_BYTES) {
      throw new MalformedMessageException("spec is longer than " + MAX_PROGRAM_BYTES + " bytes");
    }
    JsonNode stepNodes = root.get("steps");
    if (stepNodes == null || !stepNodes.isArray() || stepNodes.isEmpty()) {
      throw new MalformedMessageException("steps must be a list with at least one step");
    }
    List<StepSpec> steps = new ArrayList<>(stepNodes.size());
    long tasks = 0;
    for (JsonNode node : stepNodes) {
      StepSpec step = toStep(node, steps.size());
      tasks += step.count();
      if (tasks > MAX_TASKS) {
        throw new MalformedMessageException(
            "the steps have more than " + MAX_TASKS + " tasks; submit several jobs");
      }
      steps.add(step);
    }
    return new JobSpec(
        id,
        queue,
        team,
        program,
        steps,
        (int) number(root, "repeatCount", MAX_OCCURRENCES),
        number(root, "startAtMs", Long.MAX_VALUE / 4),
        number(root, "periodMs", Long.MAX_VALUE / (4L * MAX_OCCURRENCES)),
        submittedEpochMs);
  }

  /** Reads a number from 0 to a maximum; 0 if it is missing. */
  private static long number(JsonNode node, String field, long max)
      throws MalformedMessageException {
    long value = Json.numberOr(node, field, 0);
    if (value < 0 || value > max) {
      throw new MalformedMessageException(field + " must be from 0 to " + max);
    }
    return value;
  }

  private static StepSpec toStep(JsonNode node, int number) throws MalformedMessageException {
    long count = Json.numberOr(node, "count", 1);
    if (count < 1 || count > MAX_TASKS) {
      throw new MalformedMessageException("count must be from 1 to " + MAX_TASKS);
    }
    long maxPerWorker = number(node, "antiAffinity", Integer.MAX_VALUE);
    long maxUnavailable = number(node, "mayMiss", Integer.MAX_VALUE);
    List<Integer> after = new ArrayList<>();
    for (JsonNode dependency : node.path("after")) {
      if (!dependency.isInt() || dependency.intValue() < 0 || dependency.intValue() >= number) {
        throw new MalformedMessageException("after must name earlier steps only");
      }
      after.add(dependency.intValue());
    }
    return new StepSpec(
        (int) count,
        StoreRecords.resources(node),
        Json.numberOr(node, "estRuntimeMs", 0),
        after,
        Json.flag(node, "checkpointing"),
        Json.flag(node, "gang"),
        Json.flag(node, "rackSensitive"),
        Json.textOr(node, "constraints", ""),
        Json.textOr(node, "affinity", ""),
        (int) maxPerWorker,
        Json.flag(node, "speculative"),
        Json.flag(node, "longRunning"),
        Json.textOr(node, "image", ""),
        Json.numberOr(node, "targetMs", 0),
        Json.flag(node, "fills"),
        (int) maxUnavailable);
  }
}
