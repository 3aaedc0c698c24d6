package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A job none of whose runs has ended as failed must not be shown as failed. */
final class CrashCase {

  private static final String JOB = "00000000000000c2";
  private static final int BUDGET_MS = 3_000;
  private static final int MINIONS = 7;
  private static final int CRASHES = 3;
  private static final long DOWN_MS = 2_000;
  private static final long RUN_MS = 3_000;
  private static final long CRASH_AFTER_MS = 1_000;
  private static final long END_MS = 70_000;

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
    Minion.DURATIONS_MS.put("0", RUN_MS);
    for (int i = 0; i < MINIONS; i++) {
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
                List.of(Map.of("count", 1, "cpu", 1000, "memMb", 256, "estRuntimeMs", RUN_MS)));
    if (world.request(daemon, "POST", JOB, job, BUDGET_MS).status() != 200) {
      return 2;
    }
    int crashed = 0;
    long lastCrashAtMs = Long.MIN_VALUE / 2;
    while (world.record.nowMs() < END_MS) {
      Minion.Start start = lastStart();
      long nowMs = world.record.nowMs();
      boolean isDue =
          hasTrouble
              && crashed < CRASHES
              && start != null
              && start.atMs() > lastCrashAtMs
              && nowMs >= start.atMs() + CRASH_AFTER_MS;
      if (isDue) {
        crashed++;
        lastCrashAtMs = nowMs;
        crash(world, start.minion());
      }
      if (nowMs % 1_000 < 50) {
        String state = Worlds.state(world.request(daemon, "GET", JOB, null, BUDGET_MS));
        if (state.equals("completed")) {
          return 0;
        }
        if (state.equals("failed")) {
          world.record.add(
              "LOST: shown as failed; runs that ended failed: %d, maxAttempts: 4, minion crashes: %d",
              Minion.failedEnds(JOB), crashed);
          return Minion.failedEnds(JOB) < 4 ? 1 : 0;
        }
        Worlds.pause(50);
      }
      Worlds.pause(20);
    }
    return 2;
  }

  private static Minion.Start lastStart() {
    synchronized (Minion.STARTS) {
      return Minion.STARTS.isEmpty() ? null : Minion.STARTS.get(Minion.STARTS.size() - 1);
    }
  }

  private static void crash(Worlds world, String id) {
    Minion minion =
        world.minions.stream().filter(it -> it.id.equals(id)).findFirst().orElseThrow();
    minion.crash();
    Thread back =
        new Thread(
            () -> {
              Worlds.pause(DOWN_MS);
              try {
                minion.restart();
              } catch (java.io.IOException e) {
                world.record.add("%s did not come up again: %s", id, e.getMessage());
              }
            });
    back.setDaemon(true);
    back.start();
  }
}
