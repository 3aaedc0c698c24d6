package org.laburnumarch.internal.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laburnumarch.internal.daemon.TestFleet.within;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.operator.KeySecrets;

/** Signals to a daemon in a separate process. */
class TerminationTest {

  @Nested
  class WhenTheLogIsDownDuringShutdown {
    @TempDir private Path directory;

    /**
     * Guards against a process that cannot be stopped while its departure cannot be appended to the
     * log.
     */
    @Test
    void shouldExitAtOnceAtTheSecondSignal() throws Exception {
      try (TestFleet fleet = new TestFleet(5)) {
        int port = TestFleet.freePort();
        Process daemon = start(settings(fleet, port));
        try {
          String address = "127.0.0.1:" + port;
          within(20, () -> assertThat(fleet.log.appendCount()).isPositive());
          within(10, () -> assertThat(ready(fleet, address).is(ResultCode.NOT_READY)).isTrue());
          fleet.controlLog("{\"outage\":\"silent\"}");
          daemon.destroy();
          within(5, () -> assertThat(ready(fleet, address).is(ResultCode.SHUTTING_DOWN)).isTrue());
          assertThat(daemon.isAlive()).isTrue();
          daemon.destroy();
          assertThat(daemon.waitFor(3, TimeUnit.SECONDS)).isTrue();
          assertThat(daemon.exitValue()).isNotZero();
        } finally {
          daemon.destroyForcibly();
        }
      }
    }

    private TestFleet.Response ready(TestFleet fleet, String address) {
      return fleet.send("GET", address + "/-/ready", "", "");
    }

    private Path settings(TestFleet fleet, int port) throws Exception {
      Path secret = Files.writeString(directory.resolve("secret"), "a secret of the test fleet");
      String text =
          """
          [daemon]
          instance = entry-one
          data-centre = north
          [listen]
          callers = 127.0.0.1:%d
          peers = 127.0.0.1:%d
          [peers]
          seeds = 127.0.0.1:9
          [platform]
          log = 127.0.0.1:%d
          instance-list = 127.0.0.1:%d
          [secrets]
          fleet-secret-file = %s
          [operators]
          anna = %s
          """
              .formatted(
                  port,
                  TestFleet.freePort(),
                  fleet.log.address().getPort(),
                  fleet.instances.address().getPort(),
                  secret,
                  KeySecrets.digestOf("a token"));
      return Files.writeString(directory.resolve("daemon.ini"), text);
    }

    private Process start(Path settings) throws Exception {
      return new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-cp",
              System.getProperty("java.class.path"),
              "org.laburnumarch.Laburnumarch",
              "daemon",
              "--settings",
              settings.toString())
          .redirectErrorStream(true)
          .redirectOutput(directory.resolve("out").toFile())
          .start();
    }
  }
}
