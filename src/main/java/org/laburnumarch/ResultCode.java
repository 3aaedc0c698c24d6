package org.laburnumarch;

import static org.laburnumarch.Outcome.BREACH;
import static org.laburnumarch.Outcome.DONE;
import static org.laburnumarch.Outcome.INVALID;
import static org.laburnumarch.Outcome.NOT_RUN;
import static org.laburnumarch.Outcome.UNKNOWN;

/**
 * Numbered results of requests, commands, records and invariants.
 *
 * <p>Numbers are stable and never reused with another meaning. {@code docs/result-codes.md} lists
 * all of them with the remedy for each.
 */
public enum ResultCode {
  OK(1000, DONE, 200),

  // 11xx: operators' text and configuration changes.
  STALE_BASE_VERSION(1101, INVALID, 409),
  DUPLICATE_OPERATION(1102, DONE, 200),
  TEXT_MALFORMED(1103, INVALID, 400),
  UNKNOWN_NAME(1104, INVALID, 400),
  DUPLICATE_NAME(1105, INVALID, 409),
  DEPENDENCY_CYCLE(1106, INVALID, 400),
  VALUE_OUT_OF_RANGE(1107, INVALID, 400),
  UNKNOWN_SETTING(1108, INVALID, 400),
  MISSING_SETTING(1109, INVALID, 400),
  BUDGET_UNSATISFIABLE(1110, INVALID, 400),
  SHARES_EXCEED_ONE(1111, INVALID, 400),
  RESULT_DIGEST_MISMATCH(1112, INVALID, 409),
  NO_CHANGE(1113, DONE, 200),
  OPERATION_ID_REUSED(1114, INVALID, 409),

  // 12xx: keys and access.
  KEY_MISSING(1201, NOT_RUN, 401),
  KEY_UNKNOWN(1202, NOT_RUN, 401),
  KEY_REVOKED(1203, NOT_RUN, 401),
  OPERATOR_REFUSED(1204, NOT_RUN, 403),
  TEAM_NOT_ALLOWED(1205, NOT_RUN, 403),
  KEY_SECRET_NOT_SHOWN(1206, INVALID, 409),

  // 13xx: limits, queues and deadlines.
  LIMIT_REACHED(1301, NOT_RUN, 429),
  QUEUE_FULL(1302, NOT_RUN, 429),
  DEADLINE_UNREACHABLE(1303, NOT_RUN, 503),
  DEADLINE_INVALID(1304, INVALID, 400),
  BODY_TOO_LARGE(1305, INVALID, 413),

  // 14xx: routing to minions.
  SERVICE_UNKNOWN(1401, NOT_RUN, 404),
  NO_MINION_AVAILABLE(1402, NOT_RUN, 503),
  OUTCOME_UNKNOWN(1403, UNKNOWN, 502),
  ANSWER_INCOMPLETE(1404, UNKNOWN, 502),
  CONNECT_FAILED(1405, NOT_RUN, 503),
  ANSWER_TOO_LARGE(1406, UNKNOWN, 502),
  REQUEST_MALFORMED(1407, INVALID, 400),

  // 15xx: the platform's log and the daemon's authority.
  NOT_READY(1501, NOT_RUN, 503),
  NO_AUTHORITY(1502, NOT_RUN, 503),
  LOG_UNAVAILABLE(1503, UNKNOWN, 503),
  APPEND_OUTCOME_UNKNOWN(1504, UNKNOWN, 504),
  SHUTTING_DOWN(1505, NOT_RUN, 503),
  RECORD_MALFORMED(1506, INVALID, 400),
  RECORD_VERSION_UNSUPPORTED(1507, INVALID, 400),
  OFFSET_NOT_RETAINED(1508, INVALID, 410),
  NOT_IN_FORCE_YET(1509, UNKNOWN, 503),

  // 16xx: members and peers.
  MEMBER_UNKNOWN(1601, INVALID, 409),
  MEMBER_EXPELLED(1602, INVALID, 409),
  NO_SEAT(1603, NOT_RUN, 503),
  PEER_REFUSED(1604, INVALID, 403),
  FRAME_MALFORMED(1605, INVALID, 400),
  NOT_SUSPECTED(1606, INVALID, 409),
  NOT_SETTLED(1607, INVALID, 409),
  ALLOWANCE_EXHAUSTED(1608, NOT_RUN, 409),

  // 17xx: instances, pools, budgets and data centres.
  INSTANCE_UNKNOWN(1701, INVALID, 409),
  INSTANCE_NOT_IN_POOL(1702, INVALID, 409),
  BUDGET_WOULD_BREAK(1703, NOT_RUN, 409),
  DATA_CENTRE_UNKNOWN(1704, INVALID, 404),
  DATA_CENTRE_STATE_UNCHANGED(1705, DONE, 200),
  INSTANCE_BUSY(1706, INVALID, 409),

  // 18xx: tasks and workers.
  TASK_UNKNOWN(1801, INVALID, 404),
  TASK_EXISTS(1802, DONE, 200),
  TASK_NOT_WAITING(1803, INVALID, 409),
  TASK_ATTEMPT_STALE(1804, INVALID, 409),
  WORKER_UNKNOWN(1805, INVALID, 409),
  DATA_CENTRE_OUT(1806, NOT_RUN, 503),
  OWNER_FENCED(1807, INVALID, 409),
  TASKS_FULL(1808, NOT_RUN, 429),

  // 19xx: invariants of the program.
  INVARIANT_BUDGET(1901, BREACH, 500),
  INVARIANT_ONE_POOL(1902, BREACH, 500),
  INVARIANT_KEY(1903, BREACH, 500),
  INVARIANT_UPPER_LIMIT(1904, BREACH, 500),
  INVARIANT_DATA_CENTRE(1905, BREACH, 500),
  INVARIANT_WHOLE_ANSWER(1906, BREACH, 500),
  INVARIANT_NOT_RUN(1907, BREACH, 500),
  INVARIANT_AT_MOST_ONCE(1908, BREACH, 500),
  INVARIANT_LEAVING(1909, BREACH, 500),
  INVARIANT_SHUTDOWN(1910, BREACH, 500),
  INVARIANT_CONFIGURATION(1911, BREACH, 500),
  INVARIANT_SEAT(1912, BREACH, 500),

  // 20xx: the command line.
  USAGE(2001, INVALID, 400),
  CONFIRMATION_MISSING(2002, INVALID, 400),
  ENTRY_UNREACHABLE(2003, UNKNOWN, 503),
  WAIT_EXPIRED(2004, UNKNOWN, 504),
  INTERNAL_ERROR(2099, UNKNOWN, 500);

  private final int number;
  private final Outcome outcome;
  private final int httpStatus;

  ResultCode(int number, Outcome outcome, int httpStatus) {
    this.number = number;
    this.outcome = outcome;
    this.httpStatus = httpStatus;
  }

  /** Returns the stable number of this code. */
  public int number() {
    return number;
  }

  /** Returns what a caller may conclude from this code. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the HTTP status code that carries this result. */
  public int httpStatus() {
    return httpStatus;
  }
}
