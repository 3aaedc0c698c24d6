/**
 * Decides which jobs are refused because they cannot be done while they are worth anything. No I/O
 * and no clocks: the time is passed to each call.
 */
package org.laburnumarch.internal.admission;
