package org.laburnumarch.internal.share;

/**
 * Work that waits for capacity in a pool.
 *
 * @param work the work
 * @param team the team that is charged for it
 * @param urgencyClass the class within which shares decide; smaller is more urgent
 * @param isAgreed whether it is within the agreement with its team
 * @param poolFraction the part of the pool that it will use, by the scarcest resource
 * @param sinceMs local time at which its job was submitted
 */
public record WaitingWork<T>(
    T work, String team, long urgencyClass, boolean isAgreed, double poolFraction, long sinceMs) {}
