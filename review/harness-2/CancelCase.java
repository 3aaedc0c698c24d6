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
        Worlds world = new Worlds(record, Path.of(args[0]))) {
      int result = 2;
      try {
        result = run(world, hasTrouble);
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
      }
      record.add("exit %d", result);
      world.close();
      System.exit(result);
    }
  }

  private static int run(Worlds world, boolean hasTrouble) throws Exception {
    Minion.DURATIONS_MS.put("0", FIRST_STEP_MS);
    Minion.DURATIONS_MS.put("1", 1_000L);
    for (int i = 0; i < 6; i++) {
      world.addMinion("desk", List.of("north", "central", "south").get(i % 3), "r" + i / 4);
    }
    world.writeConfig("desk", 4, List.of("holds"));
    world.start(3);
    Worlds.pause(4_000);
    Worlds.Daemon daemon = world.daemons.get(0);
    Map<String, Object> job =
        Map.of(
            "spec", "hold",
            "steps",
                List.of(
                    Map.of("count", 3, "cpu", 1000, "memMb", 256, "estRuntimeMs", FIRST_STEP_MS),
                    Map.of(
                        "count", 2, "cpu", 1000, "memMb", 256, "estRuntimeMs", 1000, "after",
                        List.of(0))));
    long downAtMs = world.record.nowMs();
    if (hasTrouble) {
      world.store.setSilent("keyed.jobs", true);
    }
    Thread back =
        new Thread(
            () -> {
              Worlds.pause(DOWN_MS);
              if (hasTrouble) {
                world.store.setSilent("keyed.jobs", false);
              }
            });
    back.setDaemon(true);
    back.start();
    Worlds.Answer submitted = world.request(daemon, "POST", JOB, job, BUDGET_MS);
    if (submitted.status() == 429 || submitted.status() == 503) {
      return 2;
    }
    long cancelledAtMs = cancel(world, daemon);
    if (cancelledAtMs < 0) {
      return 2;
    }
    Worlds.pause(Math.max(0, downAtMs + DOWN_MS + 9_000 - world.record.nowMs()));
    world.request(daemon, "GET", JOB, null, BUDGET_MS);
    long lateFromMs = cancelledAtMs + Worlds.CANCEL_MS;
    boolean isBroken = false;
    for (Minion.Start start : Minion.STARTS) {
      if (start.task().startsWith(JOB) && start.atMs() > lateFromMs) {
        world.record.add(
            "UNASKED: %s run %d started %.3f s after the cancelling was acknowledged",
            start.task(), start.run(), (start.atMs() - cancelledAtMs) / 1000.0);
        isBroken = true;
      }
    }
    return isBroken ? 1 : 0;
  }

  /** Cancels the job, again after refusals; returns when that was acknowledged, -1 if never. */
  private static long cancel(Worlds world, Worlds.Daemon daemon) throws Exception {
    for (int i = 0; i < 10; i++) {
      Worlds.Answer answer = world.request(daemon, "DELETE", JOB, null, BUDGET_MS);
      if (answer.status() == 410 || answer.status() / 100 == 2) {
        return world.record.nowMs();
      }
      Worlds.pause(1_000);
    }
    return -1;
  }
}
