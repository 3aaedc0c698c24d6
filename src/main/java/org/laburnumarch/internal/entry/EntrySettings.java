package org.laburnumarch.internal.entry;

import org.laburnumarch.internal.membership.MemberTimes;

/**
 * Settings of the HTTP server.
 *
 * @param host IP address to listen on
 * @param port port to listen on; 0 for any free port
 * @param connectTimeoutMs timeout for opening a connection to a minion
 * @param isTicking whether the entry calls {@link EntryServer#tick()} on a thread of its own; tests
 *     that control the clock call it themselves
 */
public record EntrySettings(String host, int port, int connectTimeoutMs, boolean isTicking) {

  /** Maximum size of a request or response body. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** Maximum size of an operator's body: the largest configuration text with its JSON escapes. */
  public static final int MAX_OPERATOR_BODY_BYTES = 1 << 21;

  /** Timeout of a request that states none. */
  public static final long DEFAULT_REQUEST_TIMEOUT_MS = 10_000;

  /** Maximum timeout of a request; reclaiming allowance relies on no request running longer. */
  public static final long MAX_REQUEST_TIMEOUT_MS = MemberTimes.MAX_REQUEST_MS;

  /** Interval of {@link EntryServer#tick()}. */
  public static final long TICK_MS = 20;

  /** Returns the default settings for an address. */
  public static EntrySettings of(String host, int port) {
    return new EntrySettings(host, port, 1_000, true);
  }
}
