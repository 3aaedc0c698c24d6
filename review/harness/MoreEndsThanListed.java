import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * A partition of the store is down for 6 s while two busy workers run short tasks, whose ends can't
 * be acknowledged meanwhile.
 */
final class MoreEndsThanListed implements Review.Case {

  private static final int WORKERS = 2;
  private static final int JOBS = 45;
  private static final int TASKS_PER_JOB = 80;

  /** The mean run time of the site's short tasks. */
  private static final long RUN_MS = 640;

  private static final long PARTITION_DOWN_MS = 6_000;
  private static final Resources NEED = new Resources(80, 100, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> new Behaviour(System.currentTimeMillis() + RUN_MS, false, NEED),
            recorder)) {
      Thread.sleep(1_500);
      for (int i = 0; i < JOBS; i++) {
        Deployment.Answer accepted =
            deployment.caller(
                i % 3, "POST", String.format("/rollups/c%015x", i),
                "{\"spec\":\"batch\",\"steps\":[{\"count\":" + TASKS_PER_JOB
                    + ",\"cpu\":80,\"memMb\":100,\"estRuntimeMs\":640}]}",
                3_000);
        if (accepted.status() != 200) {
          throw new IllegalStateException("a job was not accepted");
        }
      }
      if (hasTrouble) {
        deployment.setTopicDown("keyed.jobs");
      }
      Thread.sleep(PARTITION_DOWN_MS);
      deployment.setTopicDown("");
      int tasks = JOBS * TASKS_PER_JOB;
      long deadlineMs = System.currentTimeMillis() + 60_000;
      while (recorder.done() < tasks && System.currentTimeMillis() < deadlineMs) {
        Thread.sleep(500);
      }
      Thread.sleep(3_000);
      deployment.caller(1, "GET", "/rollups/c000000000000000", "", 3_000);
      if (recorder.done() < tasks) {
        throw new IllegalStateException("only " + recorder.done() + " tasks are done");
      }
    }
  }
}
