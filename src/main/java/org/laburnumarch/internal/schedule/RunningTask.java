package org.laburnumarch.internal.schedule;

/**
 * A task that a worker lists as running.
 *
 * @param taskName the task's name
 * @param run number of the run
 * @param checkpoint the newest checkpoint; empty for none
 * @param percent how far it is; 100 means at work for a task that lasts
 * @param load for a task that serves users its tail latency in milliseconds; for any other task the
 *     processor time it uses, in thousandths of a core; both for the last half second; -1 if the
 *     worker does not say
 */
public record RunningTask(String taskName, long run, String checkpoint, int percent, long load) {}
