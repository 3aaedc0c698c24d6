package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A job whose cancelling was acknowledged must not run. */
final class CancelCase {

  private static final String JOB = "00000000000000c1";
  private static final int BUDGET_MS = 3_000;
  private static final long DOWN_MS = 4_500;
  private static final long FIRST_STEP_MS = 6_000;

  public static void main(String[] args) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[1]));
        Deployment deployment = new Deployment(record, Path.of(args[0]))) {
      int result = 2;
      try {
        result = run(deployment, hasTrouble);
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
      }
      record.add("exit %d", result);
      deployment.close();
      System.exit(result);
    }
  }

  private static int run(Deployment deployment, boolean hasTrouble) throws Exception {
    Minion.DURATIONS_MS.put("0", FIRST_STEP_MS);
    Minion.DURATIONS_MS.put("1", 1_000L);
    for (int i = 0; i < 6; i++) {
      deployment.addMinion("desk", List.of("north", "central", "south").get(i % 3), "r" + i / 4);
    }
    deployment.writeConfig("desk", 4, List.of("holds"));
    deployment.start(3);
    Deployment.pause(4_000);
    Deployment.Daemon daemon = deployment.daemons.get(0);
    Map<String, Object> job =
        Map.of(
            "spec", "hold",
            "steps",
                List.of(
                    Map.of("count", 3, "cpu", 1000, "memMb", 256, "estRuntimeMs", FIRST_STEP_MS),
                    Map.of(
                        "count", 2, "cpu", 1000, "memMb", 256, "estRuntimeMs", 1000, "after",
                        List.of(0))));
    long downAtMs = deployment.record.nowMs();
    if (hasTrouble) {
      deployment.store.setSilent("keyed.jobs", true);
    }
    Thread back =
        new Thread(
            () -> {
              Deployment.pause(DOWN_MS);
              if (hasTrouble) {
                deployment.store.setSilent("keyed.jobs", false);
              }
            });
    back.setDaemon(true);
    back.start();
    Deployment.Answer submitted = deployment.request(daemon, "POST", JOB, job, BUDGET_MS);
    if (submitted.status() == 429 || submitted.status() == 503) {
      return 2;
    }
    long cancelledAtMs = cancel(deployment, daemon);
    if (cancelledAtMs < 0) {
      return 2;
    }
    Deployment.pause(Math.max(0, downAtMs + DOWN_MS + 9_000 - deployment.record.nowMs()));
    deployment.request(daemon, "GET", JOB, null, BUDGET_MS);
    long lateFromMs = cancelledAtMs + Deployment.CANCEL_MS;
    boolean isBroken = false;
    for (Minion.Start start : Minion.STARTS) {
      if (start.task().startsWith(JOB) && start.atMs() > lateFromMs) {
        deployment.record.add(
            "UNASKED: %s run %d started %.3f s after the cancelling was acknowledged",
            start.task(), start.run(), (start.atMs() - cancelledAtMs) / 1000.0);
        isBroken = true;
      }
    }
    return isBroken ? 1 : 0;
  }

  /** Cancels the job, again after refusals; returns when that was acknowledged, -1 if never. */
  private static long cancel(Deployment deployment, Deployment.Daemon daemon) throws Exception {
    for (int i = 0; i < 10; i++) {
      Deployment.Answer answer = deployment.request(daemon, "DELETE", JOB, null, BUDGET_MS);
      if (answer.status() == 410 || answer.status() / 100 == 2) {
        return deployment.record.nowMs();
      }
      Deployment.pause(1_000);
    }
    return -1;
  }
}
