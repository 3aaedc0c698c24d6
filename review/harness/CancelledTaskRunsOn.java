import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/**
 * Callers cancel lasting jobs right after these were accepted, while some workers lose the answers
 * of a few requests that they ran.
 */
final class CancelledTaskRunsOn implements Review.Case {

  private static final int WORKERS = 6;

  /** Half of the workers lose answers; the site's largest share is 0.53. */
  private static final int LOSSY_WORKERS = 3;

  /** The site's largest fraction of lost answers is 0.144. */
  private static final double LOST_FRACTION = 0.144;

  private static final long LOSS_MS = 6_500;
  private static final int LASTING_JOBS = 24;
  private static final long CANCEL_AFTER_MS = 25;
  private static final long CANCEL_MS = 3_000;
  private static final long STOP_TIMEOUT_MS = 900;
  private static final long CONTACT_MS = 3_000;
  private static final Resources HOLD_NEED = new Resources(800, 500, 0);
  private static final Resources LEDGER_NEED = new Resources(500, 500, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    Set<String> lasting = ConcurrentHashMap.newKeySet();
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> {
              long nowMs = System.currentTimeMillis();
              return lasting.contains(task.substring(0, 16))
                  ? new Behaviour(Long.MAX_VALUE, false, LEDGER_NEED)
                  : new Behaviour(nowMs + 640, false, HOLD_NEED);
            },
            recorder)) {
      // The usual load: about four seat holds a second.
      for (int i = 0; i < 80; i++) {
        String id = String.format("a%015x", i);
        int daemon = i % 3;
        deployment.schedule(
            250L * i,
            () ->
                deployment.caller(
                    daemon, "POST", "/holds/" + id,
                    "{\"spec\":\"hold\",\"steps\":[{\"count\":6,\"cpu\":800,\"memMb\":500,"
                        + "\"estRuntimeMs\":640}]}",
                    3_000));
      }
      Thread.sleep(2_000);
      long lossEndsMs = System.currentTimeMillis() + LOSS_MS;
      if (hasTrouble) {
        for (TestWorker worker : deployment.workers().subList(0, LOSSY_WORKERS)) {
          int requestsBefore = worker.requests();
          worker.setAnswerLoss(
              (w, path, task) ->
                  System.currentTimeMillis() < lossEndsMs
                      && path.equals("/v1/run-start")
                      && lasting.contains(task.substring(0, 16))
                      && w.lostAnswers() + 1 <= LOST_FRACTION * (w.requests() - requestsBefore));
        }
      }
      Map<String, Long> cancelledAtMs = new LinkedHashMap<>();
      for (int i = 0; i < LASTING_JOBS; i++) {
        Thread.sleep(220);
        String id = String.format("b%015x", i);
        lasting.add(id);
        Deployment.Answer accepted =
            deployment.caller(
                i % 3, "POST", "/ledgers/" + id,
                "{\"spec\":\"ledger\",\"steps\":[{\"count\":5,\"cpu\":500,\"memMb\":500,"
                    + "\"estRuntimeMs\":900,\"longRunning\":true}]}",
                3_000);
        if (accepted.status() != 200) {
          continue;
        }
        Thread.sleep(CANCEL_AFTER_MS);
        Deployment.Answer cancelled =
            deployment.caller(i % 3, "DELETE", "/ledgers/" + id, "", 3_000);
        if (cancelled.status() == 200) {
          cancelledAtMs.put(id, System.currentTimeMillis());
        }
      }
      long checkAtMs =
          Math.max(System.currentTimeMillis(), lossEndsMs) + CONTACT_MS + CANCEL_MS
              + STOP_TIMEOUT_MS + 1_000;
      Thread.sleep(checkAtMs - System.currentTimeMillis());
      for (TestWorker worker : deployment.workers()) {
        recorder.line(
            worker.id() + " ran " + worker.requests() + " requests and lost "
                + worker.lostAnswers() + " answers");
        List<String> running = new ArrayList<>(worker.runningTasks());
        for (String task : running) {
          Long cancelledMs = cancelledAtMs.get(task.substring(0, 16));
          if (cancelledMs != null) {
            recorder.breach(
                "UNASKED: " + task + " runs on at " + worker.id() + ", "
                    + (System.currentTimeMillis() - cancelledMs)
                    + " ms after its job's cancelling was acknowledged");
          }
        }
      }
      for (String id : cancelledAtMs.keySet()) {
        deployment.caller(1, "GET", "/ledgers/" + id, "", 3_000);
      }
      if (cancelledAtMs.size() < LASTING_JOBS / 2) {
        throw new IllegalStateException("too few jobs were accepted and cancelled");
      }
    }
  }
}
