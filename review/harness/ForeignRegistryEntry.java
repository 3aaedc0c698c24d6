import java.util.LinkedHashMap;
import java.util.Map;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.platform.standin.SimulatedWorker.Behaviour;

/** Another writer replaces the registry entries of two workers by entries with missing fields. */
final class ForeignRegistryEntry implements Review.Case {

  private static final int WORKERS = 6;
  private static final int TASKS = 24;
  private static final long RUN_MS = 8_000;
  private static final Resources NEED = new Resources(1_000, 500, 0);

  @Override
  public void run(boolean hasTrouble, Recorder recorder) throws Exception {
    try (Deployment deployment =
        new Deployment(
            WORKERS,
            task -> new Behaviour(System.currentTimeMillis() + RUN_MS, false, NEED),
            recorder)) {
      Thread.sleep(1_500);
      String path = "/holds/d000000000000001";
      Deployment.Answer accepted =
          deployment.caller(
              0, "POST", path,
              "{\"spec\":\"batch\",\"steps\":[{\"count\":" + TASKS
                  + ",\"cpu\":1000,\"memMb\":500,\"estRuntimeMs\":8000}]}",
              3_000);
      if (accepted.status() != 200) {
        throw new IllegalStateException("the job was not accepted");
      }
      Thread.sleep(2_000);
      if (hasTrouble) {
        for (TestWorker worker : deployment.workers().subList(0, 2)) {
          Map<String, Object> entry = new LinkedHashMap<>(worker.registryEntry());
          entry.remove("version");
          entry.remove("slots");
          entry.remove("coldLeftMs");
          entry.remove("seq");
          entry.put("born", System.currentTimeMillis());
          deployment.writeRecord("keyed.servers", worker.id(), entry);
          recorder.line("another writer: servers/" + worker.id() + " " + entry);
        }
      }
      Thread.sleep(20_000);
      deployment.caller(1, "GET", path, "", 3_000);
      if (recorder.done() < TASKS) {
        throw new IllegalStateException("only " + recorder.done() + " tasks are done");
      }
    }
  }
}
