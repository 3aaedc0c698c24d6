package org.laburnumarch.internal.forecast;

import java.util.OptionalLong;

/**
 * The demand that is expected of a pool, in instances.
 *
 * @param wanted how many it wants now
 * @param ahead how many it is expected to want within the lead time of a move; at least {@code
 *     wanted}
 * @param soon how many it is expected to want within a round trip; at least {@code ahead}
 * @param hold how many it should keep if it has them; at least {@code soon}
 * @param nextPeakAtMs when the next peak is expected to begin; empty if that is unknown
 * @param confidence confidence in the next peak, from 0 to 1
 */
public record PoolForecast(
    int wanted, int ahead, int soon, int hold, OptionalLong nextPeakAtMs, double confidence) {}
