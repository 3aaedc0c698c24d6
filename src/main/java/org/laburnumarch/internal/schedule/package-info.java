/**
 * Decides which task runs on which worker, and which runs are stopped. No I/O and no clocks: the
 * time is passed to each call.
 */
package org.laburnumarch.internal.schedule;
