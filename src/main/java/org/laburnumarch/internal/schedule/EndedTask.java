package org.laburnumarch.internal.schedule;

/**
 * The end of a run that a worker lists.
 *
 * @param number number of the end within the worker's life, from 1
 * @param taskName the task's name
 * @param run number of the run
 * @param how how it ended
 * @param checkpoint the newest checkpoint; empty for none
 */
public record EndedTask(long number, String taskName, long run, EndKind how, String checkpoint) {}
