import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * A partition of the store is down for 4.5 s while more than 500 small tasks end on each worker,
 * whose ends can't be acknowledged meanwhile.
 */
final class MoreEndsThanListed implements Review.Case {

  private static final int WORKERS = 2;
  private static final int TASKS = 1_240;
  private static final long RUN_MS = 5_000;
  private static final long STORE_DOWN_AFTER_MS = 4_000;
  private static final long STORE_DOWN_MS = 4_500;
  private static final Resources NEED = new Resources(10, 10, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> new Behaviour(System.currentTimeMillis() + RUN_MS, false, NEED),
            recorder)) {
      Thread.sleep(1_500);
      String path = "/holds/c000000000000001";
      Deployment.Answer accepted =
          deployment.caller(
              0, "POST", path,
              "{\"spec\":\"batch\",\"steps\":[{\"count\":" + TASKS
                  + ",\"cpu\":10,\"memMb\":10,\"estRuntimeMs\":5000}]}",
              3_000);
      if (accepted.status() != 200) {
        throw new IllegalStateException("the job was not accepted");
      }
      Thread.sleep(STORE_DOWN_AFTER_MS);
      if (recorder.starts().size() < TASKS) {
        throw new IllegalStateException("only " + recorder.starts().size() + " tasks have started");
      }
      if (hasTrouble) {
        deployment.setTopicDown("keyed.jobs");
      }
      Thread.sleep(STORE_DOWN_MS);
      deployment.setTopicDown("");
      Thread.sleep(10_000);
      deployment.caller(1, "GET", path, "", 3_000);
      if (recorder.done() < TASKS) {
        throw new IllegalStateException("only " + recorder.done() + " tasks are done");
      }
    }
  }
}
