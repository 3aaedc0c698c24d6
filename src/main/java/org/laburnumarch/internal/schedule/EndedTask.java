package org.laburnumarch.internal.schedule;

/**
 * The end of a run, as a worker reports it until it is acknowledged.
 *
 * @param number sequence number of the end within the worker's incarnation, from 1
 * @param taskName the task's name
 * @param run number of the run
 * @param how how it ended
 * @param checkpoint the newest checkpoint; empty if there is none
 */
public record EndedTask(long number, String taskName, long run, EndKind how, String checkpoint) {}
