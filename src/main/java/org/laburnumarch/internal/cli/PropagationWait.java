package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.ResultCode;

/** Waits until every daemon that is alive has applied a record, and prints the progress. */
final class PropagationWait {

  private static final int POLL_INTERVAL_MS = 200;
  private static final long MS_PER_SECOND = 1_000;

  private final OperatorClient client;
  private final CommandContext context;
  private final long deadlineMs;
  private String lastProgress = "";

  PropagationWait(OperatorClient client, CommandContext context, int waitSeconds) {
    this.client = client;
    this.context = context;
    this.deadlineMs = context.clock().nowMs() + waitSeconds * MS_PER_SECOND;
  }

  /** Returns whether all daemons that are alive applied the record before the timeout. */
  boolean untilApplied(long offset) {
    List<String> missing = pollMissing(offset);
    while (!missing.isEmpty() && context.clock().nowMs() < deadlineMs) {
      context.clock().sleepMs(POLL_INTERVAL_MS);
      missing = pollMissing(offset);
    }
    if (!missing.isEmpty()) {
      context
          .err()
          .println(
              "The change is accepted, but these daemons have not confirmed it: "
                  + String.join(", ", missing)
                  + ". Check again with the command status.");
    }
    return missing.isEmpty();
  }

  private List<String> pollMissing(long offset) {
    ClientResponse response = client.get("status");
    return response.code() == ResultCode.OK
        ? reportMissing(response.body().path("members"), offset)
        : List.of("all daemons");
  }

  private List<String> reportMissing(JsonNode members, long offset) {
    List<String> missing = new ArrayList<>();
    int alive = 0;
    for (JsonNode member : members) {
      boolean isAlive = member.path("alive").asBoolean();
      alive += isAlive ? 1 : 0;
      if (isAlive && member.path("nextOffset").asLong() <= offset) {
        missing.add(member.path("instance").asText());
      }
    }
    String progress =
        "In force at " + (alive - missing.size()) + " of " + alive + " daemons that are alive.";
    if (!progress.equals(lastProgress)) {
      context.err().println(progress);
      lastProgress = progress;
    }
    return alive == 0 ? List.of("all daemons") : missing;
  }
}
