package org.laburnumarch.internal.emulator;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The open connections of a stand-in, and which of them never get a response again. */
final class ConnectionTable {

  private final int maxConnections;
  private final Set<Object> open = ConcurrentHashMap.newKeySet();
  private final Set<Object> silent = ConcurrentHashMap.newKeySet();
  private final AtomicInteger maxOpen = new AtomicInteger();
  private final AtomicLong refusedConnections = new AtomicLong();

  /**
   * Creates an empty table.
   *
   * @param maxConnections maximum number of open connections
   */
  ConnectionTable(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Admits a connection unless the limit is reached; a refusal is counted. */
  boolean admit(Object connection) {
    if (open.size() >= maxConnections) {
      refusedConnections.incrementAndGet();
      return false;
    }
    open.add(connection);
    maxOpen.accumulateAndGet(open.size(), Math::max);
    return true;
  }

  /** Removes a closed connection. */
  void remove(Object connection) {
    open.remove(connection);
    silent.remove(connection);
  }

  /** Makes the server stop responding on all open connections; new ones work. */
  void silenceExisting() {
    silent.addAll(open);
  }

  /** Returns whether the server no longer responds on the connection. */
  boolean isSilent(Object connection) {
    return silent.contains(connection);
  }

  /** Returns the maximum number of connections that were open at the same time. */
  int maxOpenCount() {
    return maxOpen.get();
  }

  /** Returns how many connections were refused because of the limit. */
  long refusedCount() {
    return refusedConnections.get();
  }
}
