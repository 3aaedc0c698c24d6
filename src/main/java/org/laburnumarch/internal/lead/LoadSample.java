package org.laburnumarch.internal.lead;

/**
 * What an owner measured in one second.
 *
 * @param replies orders that workers answered in time
 * @param meanReplyMs mean time until these answers, in milliseconds; 0 without any
 * @param unanswered orders without an answer in time
 * @param maxTimerDelayMs by how much a timer ran late at most, in milliseconds
 * @param heldShare part of the scheduling rounds in which starts were held back because the link
 *     takes no more, from 0 to 1
 */
public record LoadSample(
    int replies, long meanReplyMs, int unanswered, long maxTimerDelayMs, double heldShare) {}
