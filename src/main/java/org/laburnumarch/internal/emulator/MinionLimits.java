package org.laburnumarch.internal.emulator;

/**
 * Concurrency limits of a minion.
 *
 * @param slots maximum number of concurrent runs
 * @param connections maximum number of open connections; further ones are closed
 */
record MinionLimits(int slots, int connections) {

  /** The usual limits of backend servers. */
  static final MinionLimits DEFAULT = new MinionLimits(8, 64);
}
