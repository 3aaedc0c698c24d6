package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.Cancellable;

/** One attempt to run a request at one minion; guarded by the lock of the dispatcher. */
final class Attempt {
  private final EntryRequest request;
  private final MinionLink link;
  private final boolean holdsUnit;
  private final long startedAtMs;
  private long deadlineMs;
  private MinionConnection connection;
  private Cancellable exchange = Cancellable.IGNORE_CANCEL;
  private boolean isWritten;
  private boolean isEnded;

  Attempt(
      EntryRequest request, MinionLink link, boolean holdsUnit, long startedAtMs, long deadlineMs) {
    this.request = request;
    this.link = link;
    this.holdsUnit = holdsUnit;
    this.startedAtMs = startedAtMs;
    this.deadlineMs = deadlineMs;
  }

  EntryRequest request() {
    return request;
  }

  CallerRequest caller() {
    return request.caller();
  }

  MinionLink link() {
    return link;
  }

  /** Returns whether it holds a unit of the team's upper limit. */
  boolean holdsUnit() {
    return holdsUnit;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  void changeDeadlineTo(long newDeadlineMs) {
    deadlineMs = newDeadlineMs;
  }

  /** Returns the connection, or null while it is being opened. */
  MinionConnection connection() {
    return connection;
  }

  void useConnection(MinionConnection newConnection) {
    connection = newConnection;
    connection.assignTo(this);
  }

  /** Sets the handle that cancels the running exchange with the minion. */
  void setExchange(Cancellable cancellable) {
    exchange = cancellable;
  }

  Cancellable exchange() {
    return exchange;
  }

  /** Records that the request is about to be written. */
  void recordWrite() {
    request.recordWrite();
    isWritten = true;
  }

  boolean isWritten() {
    return isWritten;
  }

  boolean isEnded() {
    return isEnded;
  }

  void end() {
    isEnded = true;
  }
}
