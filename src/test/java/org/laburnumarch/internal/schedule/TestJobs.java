package org.laburnumarch.internal.schedule;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.FleetConfig.CallerLimits;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.QueueConfig;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.ServiceConfig;
import org.laburnumarch.internal.job.StepSpec;
import org.laburnumarch.internal.job.TeamConfig;

/** Jobs and configurations for tests. */
final class TestJobs {

  static final String QUEUE = "batch";
  static final String ADVISED_QUEUE = "advised";
  static final String SERVICE = "compute";
  static final String TEAM = "research";
  static final SchedulerSettings SETTINGS =
      new SchedulerSettings(6_000, 200, 3_000, 120_000, 4_500, 3, 8_000);

  private TestJobs() {}

  static FleetConfig config(long teamCpuMillis, int maxAttempts) {
    return config(teamCpuMillis, maxAttempts, SERVICE);
  }

  static FleetConfig config(long teamCpuMillis, int maxAttempts, String service) {
    return new FleetConfig(
        1,
        List.of(
            new QueueConfig(
                QUEUE,
                "host",
                "/batch/",
                service,
                0,
                maxAttempts,
                1.6,
                600,
                false,
                Optional.empty())),
        List.of(
            new ServiceConfig(SERVICE, true, false, "/health"),
            new ServiceConfig("reserve", true, true, "/health")),
        List.of(new TeamConfig(TEAM, Set.of("key"), 1_000, new Resources(teamCpuMillis, 0, 0))),
        CallerLimits.DEFAULT);
  }

  /** Returns the usual queue and one whose tasks need tickets, on one pool. */
  static FleetConfig configWithAdvice() {
    FleetConfig plain = config(0, 9);
    QueueConfig advised =
        new QueueConfig(
            ADVISED_QUEUE,
            "host",
            "/advised/",
            SERVICE,
            0,
            9,
            1.6,
            600,
            false,
            Optional.of(new QueueConfig.AdviceTimes(10, 10, 10_000)));
    return new FleetConfig(
        1,
        List.of(plain.queue(QUEUE).orElseThrow(), advised),
        List.copyOf(plain.services().values()),
        List.of(team(TEAM, 1_000, 0)),
        CallerLimits.DEFAULT);
  }

  /** Returns queues {@code q0} and {@code q1} of priorities 0 and 1 on one pool for some teams. */
  static FleetConfig configOfTeams(double stretch, long latencyTargetMs, TeamConfig... teams) {
    Optional<QueueConfig.AdviceTimes> noAdvice = Optional.empty();
    return new FleetConfig(
        1,
        List.of(
            new QueueConfig(
                "q0", "h", "/0", SERVICE, 0, 9, stretch, latencyTargetMs, false, noAdvice),
            new QueueConfig(
                "q1", "h", "/1", SERVICE, 1, 9, stretch, latencyTargetMs, false, noAdvice)),
        List.of(new ServiceConfig(SERVICE, true, false, "/health")),
        List.of(teams),
        CallerLimits.DEFAULT);
  }

  static TeamConfig team(String name, double weight, long limitCpuMillis) {
    return new TeamConfig(name, Set.of(name), weight, new Resources(limitCpuMillis, 0, 0));
  }

  static StepSpec step(int count, long cpuMillis, Integer... after) {
    return StepSpec.ofTasks(count, new Resources(cpuMillis, 1_000, 0), 500, List.of(after));
  }

  static StepSpec longRunningStep(int count, int maxPerWorker, int maxUnavailable) {
    return StepSpec.ofLongRunningTasks(
        count, new Resources(500, 1_000, 0), "image", maxPerWorker, maxUnavailable);
  }

  static StepSpec gangStep(int count, long cpuMillis) {
    return new StepSpec(
        count,
        new Resources(cpuMillis, 1_000, 0),
        500,
        List.of(),
        false,
        true,
        false,
        "",
        "",
        0,
        false,
        false,
        "",
        0,
        false,
        0);
  }

  static JobSpec job(String id, long submittedEpochMs, StepSpec... steps) {
    return new JobSpec(id, QUEUE, TEAM, "program", List.of(steps), 0, 0, 0, submittedEpochMs);
  }

  /** Returns a job of the queue whose tasks need tickets. */
  static JobSpec advisedJob(String id, long submittedEpochMs, StepSpec step) {
    return new JobSpec(
        id, ADVISED_QUEUE, TEAM, "program", List.of(step), 0, 0, 0, submittedEpochMs);
  }
}
