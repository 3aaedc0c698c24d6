package org.laburnumarch.internal.fleet;

/**
 * An instance that counts as capacity.
 *
 * @param dataCentre index of its data centre
 * @param rack its rack; each instance without one counts as a rack of its own
 * @param isAvailable whether it counts for the availability budget and may be moved
 */
record CapacityInstance(String instance, int dataCentre, String rack, boolean isAvailable) {}
