package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.RunningTask;
import org.laburnumarch.internal.schedule.WorkerReport;

/**
 * Decodes what workers reply. A reply that says nothing certain about an order counts as no reply,
 * and a report with one unreadable entry is unreadable as a whole: read as a shorter list, it would
 * show runs as ended that are going on.
 */
final class WorkerMessages {

  static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;
  private static final int MISDIRECTED = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  // Columns of a row in the list of running tasks.
  private static final int TASK = 0;
  private static final int RUN = 1;
  private static final int CHECKPOINT = 2;
  private static final int PERCENT = 3;
  private static final int LOAD = 4;

  // Columns of a row in the list of ended runs.
  private static final int END_NUMBER = 0;
  private static final int END_TASK = 1;
  private static final int END_RUN = 2;
  private static final int END_KIND = 3;
  private static final int END_CHECKPOINT = 4;

  /** Maximum number of ends in a report; a worker with more leaves out the later ones. */
  private static final int MAX_LISTED_ENDS = 500;

  private WorkerMessages() {}

  /** Decodes the reply to an order. */
  static OrderReply decodeOrderReply(int status, byte[] body) {
    return switch (status) {
      case OK -> new OrderReply(Outcome.OBEYED, clockMs(body));
      case CONFLICT -> new OrderReply(refusal(body), clockMs(body));
      case BAD_REQUEST -> new OrderReply(Outcome.REJECTED, clockMs(body));
      case MISDIRECTED -> new OrderReply(Outcome.OTHER_INCARNATION, -1);
      case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> new OrderReply(Outcome.UNHEALTHY, -1);
      default -> new OrderReply(Outcome.UNKNOWN, -1);
    };
  }

  private static Outcome refusal(byte[] body) {
    try {
      return switch (Json.textOr(Json.parse(body), "reason", "")) {
        case "fence" -> Outcome.FENCED;
        case "old" -> Outcome.OUTDATED;
        case "late" -> Outcome.LATE;
        case "room" -> Outcome.NO_ROOM;
        case "ticket" -> Outcome.TICKET;
        default -> Outcome.REJECTED;
      };
    } catch (MalformedMessageException e) {
      return Outcome.UNKNOWN;
    }
  }

  private static long clockMs(byte[] body) {
    try {
      return Json.numberOr(Json.parse(body), "clockMs", -1);
    } catch (MalformedMessageException e) {
      return -1;
    }
  }

  /**
   * Decodes a report.
   *
   * @throws MalformedMessageException if a list is missing or any of its rows cannot be read
   */
  static WorkerReport decodeReport(byte[] body) throws MalformedMessageException {
    JsonNode root = Json.parse(body);
    List<RunningTask> running = new ArrayList<>();
    for (JsonNode row : rows(root, "running")) {
      running.add(
          new RunningTask(
              text(row, TASK),
              number(row, RUN),
              row.path(CHECKPOINT).asText(),
              row.path(PERCENT).asInt(),
              row.path(LOAD).asLong(-1)));
    }
    List<EndedTask> ended = new ArrayList<>();
    for (JsonNode row : rows(root, "finished")) {
      ended.add(
          new EndedTask(
              number(row, END_NUMBER),
              text(row, END_TASK),
              number(row, END_RUN),
              endKind(text(row, END_KIND)),
              row.path(END_CHECKPOINT).asText()));
    }
    return new WorkerReport(
        Json.number(root, "clockMs"),
        Json.numberOr(root, "born", 0),
        running,
        ended,
        ended.size() < MAX_LISTED_ENDS);
  }

  private static JsonNode rows(JsonNode root, String field) throws MalformedMessageException {
    JsonNode rows = root.path(field);
    if (!rows.isArray()) {
      throw new MalformedMessageException(field + " must be a list");
    }
    return rows;
  }

  private static String text(JsonNode row, int column) throws MalformedMessageException {
    JsonNode value = row.path(column);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new MalformedMessageException("column " + column + " of " + row + " must be text");
    }
    return value.textValue();
  }

  private static long number(JsonNode row, int column) throws MalformedMessageException {
    JsonNode value = row.path(column);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedMessageException(
          "column " + column + " of " + row + " must be a whole number");
    }
    return value.longValue();
  }

  private static EndKind endKind(String name) throws MalformedMessageException {
    return switch (name) {
      case "done" -> EndKind.DONE;
      case "failed" -> EndKind.FAILED;
      case "stopped" -> EndKind.STOPPED;
      case "lapsed" -> EndKind.LAPSED;
      case "broken" -> EndKind.BROKEN;
      case "alone" -> EndKind.ALONE;
      default -> throw new MalformedMessageException("unknown kind of end: " + name);
    };
  }
}
