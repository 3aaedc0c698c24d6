package org.laburnumarch.internal.forecast;

/** How often predictions were right, with older ones counting less. Immutable. */
record HitRecord(double hits, double misses) {

  static final HitRecord NONE = new HitRecord(0, 0);

  /** Factor by which each outcome reduces the weight of all earlier ones. */
  private static final double RETAINED = 0.8;

  HitRecord plus(boolean isHit) {
    return new HitRecord(hits * RETAINED + (isHit ? 1 : 0), misses * RETAINED + (isHit ? 0 : 1));
  }

  /**
   * Returns the estimated share of right predictions.
   *
   * @param prior share to assume without evidence
   */
  double rate(double prior) {
    return (hits + 2 * prior) / (hits + misses + 2);
  }
}
