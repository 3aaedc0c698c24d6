/**
 * Decides how many start orders may be in flight to the workers. No I/O and no clocks: the time is
 * passed to each call.
 */
package org.laburnumarch.internal.pacing;
