import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case: {@code Review CASE DIRECTORY TROUBLE}; without the disruption if TROUBLE is 0. Exits
 * with 1 if the rule was broken.
 */
public final class Review {

  /** A disruption and what callers do around it. */
  interface Case {
    void run(boolean hasTrouble, Recorder recorder) throws Exception;
  }

  private static final Map<String, Case> CASES =
      Map.of(
          "refusing-cut-and-takeover", new RefusingCutAndTakeover(),
          "failed-without-cause", new FailedWithoutCause(),
          "cancelled-task-runs-on", new CancelledTaskRunsOn(),
          "more-ends-than-listed", new MoreEndsThanListed());

  private Review() {}

  public static void main(String[] arguments) {
    int code;
    try {
      code = run(arguments);
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }

  private static int run(String[] arguments) throws Exception {
    boolean hasTrouble = !"0".equals(arguments[2]);
    Path record = Path.of(arguments[1]).resolve("record.txt");
    int code;
    try (Recorder recorder = new Recorder(record)) {
      recorder.line("case " + arguments[0] + (hasTrouble ? "" : ", without the disruption"));
      try {
        CASES.get(arguments[0]).run(hasTrouble, recorder);
        code = recorder.breaches().isEmpty() ? 0 : 1;
      } catch (Exception e) {
        recorder.line("the case could not run: " + e);
        code = 2;
      }
      recorder.line(
          "breaches: " + recorder.breaches().size() + ", starts: " + recorder.starts().size()
              + ", tasks done: " + recorder.done() + ", exit code: " + code);
      System.out.println(recorder.breaches().size() + " breaches, exit code " + code);
    }
    return code;
  }
}
