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

  /** Maximum number of tasks in one step; protects the scheduler from oversized submissions. */
  private static final int MAX_TASKS = 10_000;

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
    for (JsonNode node : stepNodes) {
      steps.add(toStep(node, steps.size()));
    }
    return new JobSpec(
        id,
        queue,
        team,
        program,
        steps,
        (int) Json.numberOr(root, "repeatCount", 0),
        Json.numberOr(root, "startAtMs", 0),
        Json.numberOr(root, "periodMs", 0),
        submittedEpochMs);
  }

  private static StepSpec toStep(JsonNode node, int number) throws MalformedMessageException {
    long count = Json.numberOr(node, "count", 1);
    if (count < 1 || count > MAX_TASKS) {
      throw new MalformedMessageException("count must be from 1 to " + MAX_TASKS);
    }
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
        (int) Json.numberOr(node, "antiAffinity", 0),
        Json.flag(node, "speculative"),
        Json.flag(node, "longRunning"),
        Json.textOr(node, "image", ""),
        Json.numberOr(node, "targetMs", 0),
        Json.flag(node, "fills"),
        (int) Json.numberOr(node, "mayMiss", 0));
  }
}
