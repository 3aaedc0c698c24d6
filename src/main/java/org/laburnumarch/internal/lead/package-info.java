/**
 * Decides which daemon owns the fleet, from records in the platform's store. No I/O and no clocks.
 */
package org.laburnumarch.internal.lead;
