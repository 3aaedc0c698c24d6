package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An entry of another writer in the registry names no minion; no task runs twice because of it. */
final class ForeignCase {

  private static final String JOB = "00000000000000c3";
  private static final int BUDGET_MS = 3_000;
  private static final long RUN_MS = 6_000;
  private static final int TASKS = 8;

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
                    Map.of("count", TASKS, "cpu", 1000, "memMb", 256, "estRuntimeMs", RUN_MS)));
    if (deployment.request(daemon, "POST", JOB, job, BUDGET_MS).status() != 200) {
      return 2;
    }
    deployment.await(5_000, () -> Minion.starts(JOB) == TASKS, "all tasks started");
    Deployment.pause(2_000);
    Minion busy =
        deployment.minions.stream()
            .filter(minion -> !minion.tasks().isEmpty())
            .findFirst()
            .orElseThrow();
    if (hasTrouble) {
      Map<String, Object> entry = busy.entry(0);
      entry.keySet().removeAll(Set.of("version", "slots", "seq"));
      entry.put("born", System.currentTimeMillis());
      deployment.record.add("another writer: servers/%s = %s", busy.id, entry);
      deployment.store.write("keyed.servers", busy.id, Http.JSON.writeValueAsBytes(entry));
    }
    deployment.await(30_000, () -> Minion.doneEnds(JOB) >= TASKS, "all tasks done");
    Deployment.pause(1_000);
    deployment.request(daemon, "GET", JOB, null, BUDGET_MS);
    List<String> twice = Minion.twice();
    twice.forEach(line -> deployment.record.add("TWICE: %s", line));
    return twice.isEmpty() ? 0 : 1;
  }
}
