package org.laburnumarch.internal.pool;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/** Compares the sizes of pools with what they want or will want. Pure functions. */
final class PoolShortage {

  /**
   * By what factor another pool must be better covered for a pool that is short itself to give it
   * an instance. Moves between pools that are about equally short only cost their time.
   */
  private static final double GIVING_COVERAGE_RATIO = 2;

  /** What a pool lacks instances for, the most urgent first. */
  enum Kind {
    /** Long-running tasks that must always run, and any work at all. */
    LEAST {
      @Override
      int target(PoolNeed need) {
        return need.least();
      }

      @Override
      boolean mayGive(PoolNeed donor, int left, double coverage) {
        return left >= donor.least();
      }
    },
    /**
     * Work that is there. A pool with work for its instances, or one that is sure to need them in
     * time, keeps them, unless the other pool is covered much worse.
     */
    WANTED {
      @Override
      int target(PoolNeed need) {
        return need.forecast().wanted();
      }

      @Override
      boolean mayGive(PoolNeed donor, int left, double coverage) {
        int kept = donor.kept();
        return left >= kept
            || (left >= donor.least()
                && PoolNeed.coverage(left, kept) >= GIVING_COVERAGE_RATIO * coverage);
      }
    },
    /** Work that is expected. Other pools keep all that they hold. */
    EXPECTED {
      @Override
      int target(PoolNeed need) {
        return need.forecast().ahead();
      }

      @Override
      boolean mayGive(PoolNeed donor, int left, double coverage) {
        return left >= donor.held();
      }
    };

    /** Returns how many instances a pool should get. */
    abstract int target(PoolNeed need);

    /**
     * Returns whether a pool gives an instance to one that lacks it.
     *
     * @param left how many instances it can rely on afterwards
     * @param coverage the other pool's coverage afterwards
     */
    abstract boolean mayGive(PoolNeed donor, int left, double coverage);

    /** Returns the share of its wanted instances that a pool has with one more. */
    double coverageWithOneMore(PoolNeed need, int present) {
      return PoolNeed.coverage(present + 1, target(need));
    }

    /** Returns the pool that lacks the largest share of its instances, apart from some. */
    Optional<String> shortest(
        Map<String, PoolNeed> needs, PoolSizes sizes, Set<String> exceptions) {
      return needs.keySet().stream()
          .filter(pool -> !exceptions.contains(pool))
          .filter(pool -> missing(needs, this::target, sizes, pool) > 0)
          .min(
              Comparator.comparingDouble(
                      (String pool) ->
                          PoolNeed.coverage(sizes.present(pool), target(needs.get(pool))))
                  .thenComparingInt(pool -> -missing(needs, this::target, sizes, pool)));
    }
  }

  private PoolShortage() {}

  private static int missing(
      Map<String, PoolNeed> needs, ToIntFunction<PoolNeed> target, PoolSizes sizes, String pool) {
    return target.applyAsInt(needs.get(pool)) - sizes.present(pool);
  }

  /**
   * Returns whether an instance that is planned to move is needed more where it is.
   *
   * @param from the pool that it would leave
   * @param to the pool that it would go to
   */
  static boolean isNeededMore(
      String from, String to, Map<String, PoolNeed> needs, PoolSizes sizes) {
    PoolNeed source = needs.get(from);
    if (source == null || sizes.present(from) >= source.forecast().wanted()) {
      return false;
    }
    PoolNeed target = needs.get(to);
    int left = sizes.present(to) - 1;
    return target == null
        || (left >= target.least()
            && PoolNeed.coverage(left, target.forecast().wanted())
                >= Kind.WANTED.coverageWithOneMore(source, sizes.present(from)));
  }

  /**
   * Returns the pool to which an instance without use goes directly: the one that lacks most of
   * what it will need before the instance could go there through the spare pool.
   */
  static Optional<String> nextPool(Map<String, PoolNeed> needs, PoolSizes sizes) {
    ToIntFunction<PoolNeed> soon = need -> need.forecast().soon();
    return needs.keySet().stream()
        .filter(pool -> missing(needs, soon, sizes, pool) > 0)
        .max(Comparator.comparingInt(pool -> missing(needs, soon, sizes, pool)));
  }
}
