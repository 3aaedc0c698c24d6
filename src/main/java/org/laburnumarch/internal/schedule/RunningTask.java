package org.laburnumarch.internal.schedule;

/**
 * A running task, as a worker reports it.
 *
 * @param taskName the task's name
 * @param run number of the run
 * @param checkpoint the newest checkpoint; empty if there is none
 * @param percent progress in percent; for a long-running task, 100 means that it is available
 * @param load for a serving task, its tail latency in milliseconds; for any other task, the
 *     processor time it uses, in thousandths of a core; both over the last half second; -1 if the
 *     worker reports none
 */
public record RunningTask(String taskName, long run, String checkpoint, int percent, long load) {}
