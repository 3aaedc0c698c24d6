import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * Two of the workers that may run a job crash for good; the others that may run it are sound and
 * idle.
 */
final class NeverAdvised implements Review.Case {

  private static final int WORKERS = 40;
  private static final long RUN_MS = 1_000;
  private static final long FINISH_MS = 14_000;
  private static final long NOTHING_RUNNING_MS = 3_000;
  private static final Resources NEED = new Resources(500, 500, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    Advisor advisor = new Advisor(recorder);
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> new Behaviour(System.currentTimeMillis() + RUN_MS, false, NEED),
            recorder,
            Optional.of(advisor))) {
      Set<String> all = new HashSet<>();
      deployment.workers().forEach(worker -> all.add(worker.id()));
      Thread.sleep(2_000);
      String first = "a100000000000001";
      advisor.allow(first, all);
      submit(deployment, first);
      Thread.sleep(4_000);
      List<TestWorker> crashing = new ArrayList<>();
      for (TestWorker worker : deployment.workers()) {
        if (advisor.named(first).contains(worker.id()) && crashing.size() < 2) {
          crashing.add(worker);
        }
      }
      if (hasTrouble) {
        crashing.forEach(deployment::crashForGood);
      }
      Thread.sleep(8_000);
      String second = "a100000000000002";
      advisor.allow(second, all);
      submit(deployment, second);
      Thread.sleep(4_000);
      if (recorder.done() < 4) {
        throw new IllegalStateException("the first jobs have not run");
      }
      // The policy for the third job: the two workers of before and four that are sound and idle.
      Set<String> allowed = new HashSet<>();
      crashing.forEach(worker -> allowed.add(worker.id()));
      List<String> sound = new ArrayList<>();
      for (TestWorker worker : deployment.workers()) {
        boolean wasNamed =
            advisor.named(first).contains(worker.id())
                || advisor.named(second).contains(worker.id());
        if (!wasNamed && sound.size() < 4) {
          sound.add(worker.id());
        }
      }
      allowed.addAll(sound);
      String third = "a100000000000003";
      advisor.allow(third, allowed);
      int startsBefore = recorder.starts().size();
      submit(deployment, third);
      Thread.sleep(FINISH_MS + NOTHING_RUNNING_MS);
      Deployment.Answer answer =
          deployment.caller(1, "GET", "/holds/" + third, "", 3_000);
      if (recorder.starts().size() == startsBefore && !sound.isEmpty()) {
        recorder.breach(
            "LOST: no task of the accepted job " + third + " has started in "
                + (FINISH_MS + NOTHING_RUNNING_MS) + " ms, although " + sound.size()
                + " sound, idle workers may run it; its state: " + answer.body().trim());
      }
    }
  }

  private static void submit(Deployment deployment, String id) {
    Deployment.Answer accepted =
        deployment.caller(
            0, "POST", "/holds/" + id,
            "{\"spec\":\"advised\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":500,"
                + "\"estRuntimeMs\":1000}]}",
            3_000);
    if (accepted.status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
  }
}
