/**
 * Learns when and how far the demand for each pool rises, and decides how many instances a pool
 * holds. No I/O and no clocks.
 */
package org.laburnumarch.internal.forecast;
