/** Schedules tasks on workers: ownership, placement, leases, preemption and the end of attempts. */
package org.laburnumarch.internal.task;
