package org.laburnumarch.internal.runtime;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/** Steps and kinds of work for tests. */
public final class TestSteps {

  private static final Resources NEED = new Resources(4_000, 1_000, 0);

  private TestSteps() {}

  /** Returns a step of eight tasks whose data are on rack r1. */
  public static StepSpec step(String image, double estimateMs) {
    long estimate = Math.max(1, Math.round(estimateMs));
    return new StepSpec(
        8, NEED, estimate, List.of(), true, false, false, "", "r1", 0, false, false, image, 0,
        false, 0);
  }

  static double logNormal(UniformRandomProvider random, double spread) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return Math.exp(spread * radius * Math.cos(2 * Math.PI * random.nextDouble()));
  }

  /** A kind of work with wrong estimates, 3% of whose tasks take seven times as long as usual. */
  record Kind(
      String image,
      boolean isErrorPerJob,
      UniformRandomProvider random,
      double meanMs,
      double error) {

    Kind(String image, boolean isErrorPerJob, UniformRandomProvider random) {
      this(
          image,
          isErrorPerJob,
          random,
          500 * Math.exp(1.5 * random.nextDouble()),
          logNormal(random, 0.9));
    }

    /** Returns the step of a new job. */
    StepSpec nextStep() {
      return step(image, meanMs * (isErrorPerJob ? logNormal(random, 0.9) : error));
    }

    double nextRunMs() {
      return meanMs * (random.nextDouble() < 0.03 ? 7 : 1) * logNormal(random, 0.2);
    }
  }
}
