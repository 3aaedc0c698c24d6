package org.laburnumarch.internal.experiment;

/**
 * The parameters of a share experiment.
 *
 * @param load mean demand as a multiple of capacity
 * @param meanServiceMs mean run time of a request
 * @param deadlineMs how long callers wait
 * @param maxQueued maximum number of requests of one team that wait at one daemon
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
record ShareScenario(
    int daemonCount,
    int minionCount,
    int slotsPerMinion,
    int maxPerMinion,
    double[] shares,
    double load,
    double meanServiceMs,
    long deadlineMs,
    int maxQueued,
    long warmUpMs,
    long durationMs) {

  /**
   * Returns a scenario of nine daemons, eight minions and six teams, a few of them with large
   * shares.
   */
  static ShareScenario standard(double load, double meanServiceMs, int maxQueued, long durationMs) {
    double[] shares = {0.35, 0.25, 0.2, 0.1, 0.06, 0.04};
    return new ShareScenario(
        9, 8, 8, 5, shares, load, meanServiceMs, 10_000, maxQueued, 20_000, durationMs);
  }

  int capacity() {
    return minionCount * slotsPerMinion;
  }
}
