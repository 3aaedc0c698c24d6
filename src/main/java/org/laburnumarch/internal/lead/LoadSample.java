package org.laburnumarch.internal.lead;

/**
 * What an owner measured in one second.
 *
 * @param replies orders that workers answered in time
 * @param meanReplyMs mean time until these answers, in milliseconds; 0 without any
 * @param unanswered orders without an answer in time
 * @param maxTimerDelayMs by how much a timer ran late at most, in milliseconds
 */
public record LoadSample(int replies, long meanReplyMs, int unanswered, long maxTimerDelayMs) {}
