package org.laburnumarch.internal.job;

import java.util.Optional;

/**
 * The configuration of a queue.
 *
 * @param name the queue's name
 * @param host host name of callers' requests to the queue
 * @param pathPrefix path prefix of callers' requests to the queue
 * @param service name of the service whose workers run the queue's tasks
 * @param priority the queue's priority; 0 is the most urgent
 * @param maxAttempts number of failed runs of one task after which its job fails
 * @param stretch factor in a job's latency objective, which is the expected time of its longest
 *     chain of steps times this factor, plus {@code latencyTargetMs}
 * @param latencyTargetMs constant part of a job's latency objective, in milliseconds
 * @param isPublic whether callers may use the queue without a key
 * @param advice the advisory service's times; present if the queue's tasks may start only on
 *     workers that the service allows
 */
public record QueueConfig(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long latencyTargetMs,
    boolean isPublic,
    Optional<AdviceTimes> advice) {

  /**
   * Times of the advisory service, in milliseconds.
   *
   * @param decisionMs base time of one call
   * @param intervalMs additional time for each worker in a call
   * @param validityMs how long a ticket is valid
   */
  public record AdviceTimes(long decisionMs, long intervalMs, long validityMs) {}
}
