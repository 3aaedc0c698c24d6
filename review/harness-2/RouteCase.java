package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An accepted job is done although a later config has no route for its queue. */
final class RouteCase {

  private static final String JOB = "00000000000000c5";
  private static final int BUDGET_MS = 3_000;
  private static final long FIRST_STEP_MS = 4_000;
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3_000;

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
    deployment.writeConfig("desk", 4, List.of("holds", "rosters"));
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
    if (deployment.request(daemon, "POST", JOB, job, BUDGET_MS).status() != 200) {
      return 2;
    }
    deployment.await(5_000, () -> starts("0") == 3, "first step started");
    Deployment.pause(1_000);
    deployment.writeConfig("desk", 4, hasTrouble ? List.of("rosters") : List.of("holds", "rosters"));
    deployment.await(FIRST_STEP_MS + 5_000, () -> Minion.doneEnds(JOB) >= 3, "first step done");
    long doneAtMs = deployment.record.nowMs();
    deployment.record.add("all tasks of the first step have ended done; the turn of the second has come");
    while (deployment.record.nowMs() < doneAtMs + FINISH_MS + IDLE_MS) {
      if (starts("1") > 0) {
        deployment.await(5_000, () -> Minion.doneEnds(JOB) == 5, "second step done");
        deployment.request(daemon, "GET", JOB, null, BUDGET_MS);
        return 0;
      }
      Deployment.pause(50);
    }
    deployment.request(daemon, "GET", JOB, null, BUDGET_MS);
    deployment.record.add(
        "LOST: for %.1f s the accepted job has nothing running; the minions are idle",
        (deployment.record.nowMs() - doneAtMs) / 1000.0);
    return 1;
  }

  private static long starts(String step) {
    synchronized (Minion.STARTS) {
      return Minion.STARTS.stream()
          .filter(start -> start.task().startsWith(JOB + ".0." + step + "."))
          .count();
    }
  }
}
