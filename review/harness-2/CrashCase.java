package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A job none of whose tasks has failed, or had two minions crash under it, is not given up. */
final class CrashCase {

  private static final String JOB = "00000000000000c2";
  private static final int BUDGET_MS = 3_000;
  private static final int MINIONS = 7;
  private static final long DOWN_MS = 2_000;
  private static final long LISTED_MS = 4_500;
  private static final long RUN_MS = 3_000;
  private static final long CRASH_AFTER_MS = 1_000;
  private static final long END_MS = 70_000;

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
    Minion.DURATIONS_MS.put("0", RUN_MS);
    for (int i = 0; i < MINIONS; i++) {
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
                List.of(Map.of("count", 1, "cpu", 1000, "memMb", 256, "estRuntimeMs", RUN_MS)));
    if (deployment.request(daemon, "POST", JOB, job, BUDGET_MS).status() != 200) {
      return 2;
    }
    if (hasTrouble) {
      deployment.await(5_000, () -> Minion.starts(JOB) == 1, "the task started");
      Deployment.pause(CRASH_AFTER_MS);
      Minion first =
          deployment.minions.stream()
              .filter(minion -> !minion.tasks().isEmpty())
              .findFirst()
              .orElseThrow();
      first.crash();
      replaceLater(deployment, first);
      for (Minion minion : deployment.minions) {
        if (minion != first) {
          minion.crashAtNextStart(
              () -> {
                deployment.minions.forEach(other -> other.crashAtNextStart(null));
                replaceLater(deployment, minion);
              });
        }
      }
    }
    while (deployment.record.nowMs() < END_MS) {
      String state = Deployment.state(deployment.request(daemon, "GET", JOB, null, BUDGET_MS));
      if (state.equals("completed")) {
        return 0;
      }
      if (state.equals("failed")) {
        deployment.record.add(
            "LOST: shown as failed; starts of the task: %d, ends as failed: %d, minions that"
                + " crashed while they ran it: 1, maxAttempts: 4",
            Minion.starts(JOB), Minion.failedEnds(JOB));
        return 1;
      }
      Deployment.pause(1_000);
    }
    return 2;
  }

  /** Starts another minion at the address of one that has crashed, and ends its entry. */
  private static void replaceLater(Deployment deployment, Minion crashed) {
    Thread replacing =
        new Thread(
            () -> {
              try {
                Deployment.pause(DOWN_MS);
                Minion next = crashed.replace();
                deployment.minions.add(next);
                deployment.cloud.replace(crashed, next);
                Deployment.pause(LISTED_MS - DOWN_MS);
                deployment.store.write("keyed.servers", crashed.id, null);
              } catch (IOException e) {
                deployment.record.add("%s was not replaced: %s", crashed.id, e.getMessage());
              }
            });
    replacing.setDaemon(true);
    replacing.start();
  }
}
