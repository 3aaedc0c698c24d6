package org.laburnumarch.internal.job;

import java.util.Optional;

/**
 * A queue of the configuration in force.
 *
 * @param name the queue's name
 * @param host host name that callers use
 * @param pathPrefix beginning of the path that callers use
 * @param service name of the service whose workers run the queue's tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts failed ends of one task after which its job has failed
 * @param stretch how many times its longest chain of tasks a job may take
 * @param latencyTargetMs what a job may take besides
 * @param isPublic whether callers need no key
 * @param advice the advisory service's times, if the queue may use only workers that it allows
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
   * Times of the advisory service.
   *
   * @param decisionMs time of one call
   * @param intervalMs time a call takes more for each worker that it names
   * @param validityMs how long a ticket is good
   */
  public record AdviceTimes(long decisionMs, long intervalMs, long validityMs) {}
}
