package org.laburnumarch.internal.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.laburnumarch.internal.forecast.PoolForecast;

/** Compares the sizes of pools with what they want or will want. Pure functions. */
final class PoolShortage {

  /** What a pool lacks instances for, the most urgent first. */
  enum Kind {
    /** Work that is there. A pool that is sure to need its instances in time keeps them. */
    WANTED,
    /** Work that is expected. Other pools keep all that they hold. */
    EXPECTED;

    /** Returns how many instances each pool lacks; pools that lack none are left out. */
    Map<String, Integer> missing(Map<String, PoolForecast> forecasts, PoolSizes sizes) {
      return PoolShortage.missing(
          forecasts, this == WANTED ? PoolForecast::wanted : PoolForecast::ahead, sizes);
    }

    /** Returns the size below which a pool gives no instances to others. */
    int protectedSize(PoolForecast donor) {
      return this == WANTED ? donor.ahead() : donor.hold();
    }
  }

  private PoolShortage() {}

  private static Map<String, Integer> missing(
      Map<String, PoolForecast> forecasts, ToIntFunction<PoolForecast> size, PoolSizes sizes) {
    Map<String, Integer> missing = new HashMap<>();
    forecasts.forEach(
        (pool, forecast) -> {
          int lacking = size.applyAsInt(forecast) - sizes.present(pool);
          if (lacking > 0) {
            missing.put(pool, lacking);
          }
        });
    return missing;
  }

  /** Returns the pools that lack instances, the one that lacks most first. */
  static List<String> largestFirst(Map<String, Integer> missing) {
    List<String> pools = new ArrayList<>(missing.keySet());
    pools.sort(Comparator.comparing(missing::get, Comparator.reverseOrder()));
    return pools;
  }

  /**
   * Returns the pool to which an instance without use goes directly: the one that lacks most of
   * what it will need before the instance could go there through the spare pool.
   */
  static Optional<String> nextPool(Map<String, PoolForecast> forecasts, PoolSizes sizes) {
    return largestFirst(missing(forecasts, PoolForecast::soon, sizes)).stream().findFirst();
  }
}
