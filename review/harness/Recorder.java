import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.platform.standin.SimulatedWorker;
import org.laburnumarch.internal.schedule.EndKind;
import org.laburnumarch.internal.schedule.EndedTask;

/** Writes what was sent, answered and run, and finds tasks that ran twice. */
final class Recorder implements SimulatedWorker.Observer, AutoCloseable {

  /** A run as its worker saw it. */
  record Start(String task, long run, String worker, long atMs) {}

  private final PrintWriter out;
  private final long startedMs = System.currentTimeMillis();
  private final List<Start> starts = new ArrayList<>();
  private final Map<String, Start> running = new LinkedHashMap<>();
  private final Map<String, Set<Long>> doneRuns = new LinkedHashMap<>();
  private final Map<String, Set<Long>> restartedAfterDone = new LinkedHashMap<>();
  private int failed;
  private final List<String> breaches = new ArrayList<>();

  Recorder(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String text) {
    out.printf("%9.3f %s%n", (System.currentTimeMillis() - startedMs) / 1000.0, text);
    out.flush();
  }

  synchronized void breach(String text) {
    breaches.add(text);
    line("BROKEN " + text);
  }

  synchronized List<String> breaches() {
    return List.copyOf(breaches);
  }

  synchronized List<Start> starts() {
    return List.copyOf(starts);
  }

  synchronized int running() {
    return running.size();
  }

  /** Returns how many runs have ended as failed. */
  synchronized int failed() {
    return failed;
  }

  synchronized int done() {
    return doneRuns.size();
  }

  @Override
  public synchronized void onStart(SimulatedWorker worker, String task, long run) {
    line("start " + worker.id() + " " + task + " run " + run);
    Start other = running.get(task);
    if (other != null) {
      breach(
          "TWICE: " + task + " run " + run + " starts on " + worker.id() + " while run "
              + other.run() + " goes on at " + other.worker());
    }
    if (doneRuns.containsKey(task)) {
      restartedAfterDone.put(task, new HashSet<>(doneRuns.get(task)));
    }
    Start start = new Start(task, run, worker.id(), System.currentTimeMillis());
    running.put(task, start);
    starts.add(start);
  }

  @Override
  public synchronized void onEnd(SimulatedWorker worker, EndedTask end) {
    line("end " + worker.id() + " " + end.taskName() + " run " + end.run() + " " + end.how());
    running.computeIfPresent(
        end.taskName(), (task, start) -> start.worker().equals(worker.id()) ? null : start);
    failed += end.how() == EndKind.FAILED ? 1 : 0;
    if (end.how() == EndKind.DONE) {
      doneRuns.computeIfAbsent(end.taskName(), task -> new HashSet<>()).add(end.run());
    }
  }

  /** The end is taken note of; the simulated worker omits ends from before a lapse of the lease. */
  @Override
  public synchronized void onAcknowledged(SimulatedWorker worker, EndedTask end) {
    line("acknowledged " + worker.id() + " " + end.taskName() + " run " + end.run());
    if (end.how() == EndKind.DONE
        && restartedAfterDone.getOrDefault(end.taskName(), Set.of()).contains(end.run())) {
      breach(
          "TWICE: " + end.taskName() + " was started after its run " + end.run()
              + " had ended done, and that end is taken note of");
    }
  }

  @Override
  public synchronized void onLost(SimulatedWorker worker, String task, long run) {
    line("lost " + worker.id() + " " + task + " run " + run);
    running.remove(task);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
