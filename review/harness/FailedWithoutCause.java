import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** One worker of six after the other is behind a cut that refuses connections; none crashes. */
final class FailedWithoutCause implements Review.Case {

  private static final int WORKERS = 6;
  private static final int TASKS = 24;
  private static final long RUN_MS = 50_000;

  /** The site's longest cut of workers lasts 5.5 s. */
  private static final long CUT_MS = 5_500;

  private static final long PAUSE_MS = 700;
  private static final int CUTS = 12;
  private static final Resources NEED = new Resources(1_000, 500, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> new Behaviour(System.currentTimeMillis() + RUN_MS, false, NEED),
            recorder)) {
      Thread.sleep(1_500);
      String path = "/holds/f000000000000002";
      Deployment.Answer accepted =
          deployment.caller(
              0, "POST", path,
              "{\"spec\":\"batch\",\"steps\":[{\"count\":" + TASKS
                  + ",\"cpu\":1000,\"memMb\":500,\"estRuntimeMs\":50000}]}",
              3_000);
      if (accepted.status() != 200) {
        throw new IllegalStateException("the job was not accepted");
      }
      Thread.sleep(2_000);
      Random random = new Random(System.nanoTime());
      TestWorker last = null;
      for (int i = 0; i < CUTS; i++) {
        List<TestWorker> others = new ArrayList<>(deployment.workers());
        others.remove(last);
        TestWorker cut = others.get(random.nextInt(others.size()));
        last = cut;
        if (hasTrouble) {
          cut.refuseConnections();
          recorder.line("cut begins: " + cut.id());
        }
        Thread.sleep(CUT_MS);
        if (hasTrouble) {
          cut.listen();
          recorder.line("cut ends: " + cut.id());
        }
        Thread.sleep(PAUSE_MS);
        Deployment.Answer answer = deployment.caller(1, "GET", path, "", 3_000);
        if (answer.body().contains("\"failed\"")) {
          recorder.breach(
              "LOST: the job is shown as failed after " + recorder.failed()
                  + " ends of the kind failed; a task has 4 attempts");
          return;
        }
        if (answer.body().contains("\"completed\"")) {
          return;
        }
      }
    }
  }
}
