/**
 * Decides which task runs on which worker, what is accepted and what is stopped. No I/O and no
 * clocks: every call names the time.
 */
package org.laburnumarch.internal.schedule;
