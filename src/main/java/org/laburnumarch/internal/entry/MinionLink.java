package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import org.laburnumarch.internal.routing.ConnectionRule;

/**
 * The connections of this daemon to one minion; guarded by the lock of the dispatcher.
 *
 * <p>A connection counts until it is known to be closed, so that the limit holds while connections
 * are being replaced.
 */
final class MinionLink {
  private final String instance;
  private final String address;
  private final MinionClient client;
  private final ArrayDeque<MinionConnection> idle = new ArrayDeque<>();
  private int maxConnections;
  private int openCount;
  private int outstanding;
  private boolean isRetired;

  MinionLink(String instance, String address, MinionClient client) {
    this.instance = instance;
    this.address = address;
    this.client = client;
  }

  String instance() {
    return instance;
  }

  String address() {
    return address;
  }

  int outstanding() {
    return outstanding;
  }

  void resize(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /** Returns whether a connection is idle or can be opened without exceeding the limit. */
  boolean hasFreeCapacity() {
    return !idle.isEmpty() || openCount < maxConnections;
  }

  void requestStarted() {
    outstanding++;
  }

  void requestEnded(Effects effects) {
    outstanding--;
    closeIfUnused(effects);
  }

  /** Takes the idle connection that was used last, if one may carry the request. */
  Optional<MinionConnection> takeIdle(boolean isIdempotent, long nowMs) {
    MinionConnection newest = idle.peekLast();
    if (newest == null || !ConnectionRule.mayCarry(isIdempotent, newest.idleSinceMs(), nowMs)) {
      return Optional.empty();
    }
    return Optional.of(idle.pollLast());
  }

  /** Opens a connection; at the limit, closes the connection that was idle longest first. */
  Single<MinionConnection> open() {
    boolean isFull = openCount >= maxConnections;
    openCount++;
    if (!isFull || idle.isEmpty()) {
      return client.open();
    }
    Completable closing = idle.pollFirst().close();
    return closing.onErrorComplete().concat(client.open());
  }

  /** Removes a connection that could not be opened from the count. */
  void openFailed() {
    openCount--;
  }

  /** Keeps an idle connection for the next request, or closes it if the link is retired. */
  void keepIdle(MinionConnection connection, Effects effects) {
    if (isRetired) {
      closeLater(connection, effects);
    } else {
      idle.addLast(connection);
    }
  }

  void connectionClosed(MinionConnection connection) {
    openCount--;
    idle.remove(connection);
  }

  /** Closes idle connections, because the minion is leaving. */
  void closeIdle(Effects effects) {
    for (Iterator<MinionConnection> iterator = idle.iterator(); iterator.hasNext(); ) {
      closeLater(iterator.next(), effects);
      iterator.remove();
    }
  }

  /** Closes the client once the last request has ended. */
  void retire(Effects effects) {
    isRetired = true;
    closeIdle(effects);
    closeIfUnused(effects);
  }

  static void closeLater(MinionConnection connection, Effects effects) {
    effects.add(() -> connection.close().onErrorComplete().subscribe());
  }

  private void closeIfUnused(Effects effects) {
    if (isRetired && outstanding == 0) {
      effects.add(client::close);
    }
  }
}
