package org.laburnumarch.internal.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a job id for which the logs do not show why the job was late or refused. */
class ExplainCommandTest {

  private static final String LATE =
      """
        5.3 front-1 2026-12-04T07:00:05.300Z INFO jobs: event=accepted job=af57 queue=q steps=1
      front-1 2026-12-04T07:00:05.400Z INFO owner: event=gained term=4 holder=front-2/1
      front-1 2026-12-04T07:00:05.700Z INFO orders: event=Start task=af57.0.0.0 run=1 worker=w1 outcome=UNKNOWN
      front-1 2026-12-04T07:00:06.100Z INFO orders: event=Start task=af57.0.0.0 run=2 worker=w1 outcome=OBEYED
      front-1 2026-12-04T07:00:06.200Z INFO orders: event=Start task=ffff.0.0.0 run=1 worker=w2 outcome=OBEYED
      front-1 2026-12-04T07:00:08.900Z INFO orders: event=End task=af57.0.0.0 run=2 worker=w1 how=DONE
      front-1 2026-12-04T07:00:08.975Z INFO jobs: event=final job=af57 status=completed
      """;

  private static final String REFUSED =
      """
      2026-12-04T07:00:01.000Z INFO callers: event=refused status=401 path=/q/be01 cause="no valid key" configVersion=3
      """;

  private static String explain(String jobId, String logs) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream printed = new PrintStream(out, true, StandardCharsets.UTF_8);
    new ExplainCommand(new ByteArrayInputStream(logs.getBytes(StandardCharsets.UTF_8)))
        .run(new String[] {jobId}, printed, printed);
    return out.toString(StandardCharsets.UTF_8);
  }

  @Nested
  class Conclusions {

    @Test
    void shouldShowWhyTheJobWasLate() {
      assertThat(explain("af57", LATE))
          .contains("The first task of the job started 800 ms after the job was accepted.")
          .contains("start orders with outcome UNKNOWN=1")
          .contains("The owner changed 1 times during the job")
          .contains(
              "The job's final status is completed, logged 3675 ms after the job was accepted.")
          .doesNotContain("ffff");
    }

    @Test
    void shouldShowWhyTheJobWasRefused() {
      assertThat(explain("be01", REFUSED)).contains("refused a request: no valid key.");
    }

    /** Guards against an accepted job of which nothing says why it stands. */
    @Test
    void shouldShowWhyTheJobStood() {
      String line = "INFO jobs: event=waiting pool=p reason=takeover jobs=3 tasks=8 job=af57";
      assertThat(
              explain(
                  "af57",
                  LATE
                      + "2026-12-04T07:00:06.300Z "
                      + line
                      + " task=af57.0.0.0 queue=q team=t standing_ms=1000 waits_for=w1\n"
                      + "2026-12-04T07:00:07.300Z "
                      + line
                      + " task=af57.0.0.0 queue=q team=t standing_ms=2000 waits_for=w2,w3\n"))
          .contains("jobs waiting {pool=p, reason=takeover")
          .contains("stood for up to 2000 ms under one owner, reason takeover")
          .contains("workers: w2,w3.");
    }

    @Test
    void shouldReportAnUnknownJob() {
      assertThat(explain("0000", LATE)).contains("No daemon has logged 0000");
    }
  }

  @Nested
  class Usage {

    @Test
    void shouldRequireAJobId() {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      PrintStream printed = new PrintStream(out, true, StandardCharsets.UTF_8);
      int status = new ExplainCommand().run(new String[0], printed, printed);
      assertThat(status).isNotZero();
      assertThat(out.toString(StandardCharsets.UTF_8)).contains("explain JOB-ID");
    }
  }
}
