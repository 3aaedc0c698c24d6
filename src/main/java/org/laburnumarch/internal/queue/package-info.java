/**
 * Bounded queues with fair queueing by share and with deadlines. No I/O, no clock and no threads.
 */
package org.laburnumarch.internal.queue;
