/**
 * Learns the run times of tasks from finished runs. No I/O and no clocks; nothing that the safety
 * of jobs depends on may use an estimate.
 */
package org.laburnumarch.internal.runtime;
