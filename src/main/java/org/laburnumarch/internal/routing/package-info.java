/** Slot plans, choice of minion, retry budget and connection rules; no I/O, clock or threads. */
package org.laburnumarch.internal.routing;
