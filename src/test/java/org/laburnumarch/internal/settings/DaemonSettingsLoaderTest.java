package org.laburnumarch.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.TextFault;

class DaemonSettingsLoaderTest {

  private static final String SECRET = "0123456789abcdef0123456789abcdef";
  private static final String DIGEST = "ab".repeat(32);
  private static final String VALID_SETTINGS =
      """
      [daemon]
      instance = entry-1
      data-centre = north
      [listen]
      callers = 127.0.0.1:0
      peers = [::1]:0
      [peers]
      [platform]
      log = 127.0.0.1:9001
      instance-list = 127.0.0.1:9002
      [secrets]
      fleet-secret-env = FLEET_SECRET
      [operators]
      anna = %s
      """
          .formatted(DIGEST);

  private final SecretSource secrets =
      new SecretSource() {
        @Override
        public byte[] readFile(String path) throws IOException {
          if (path.equals("/missing")) {
            throw new FileNotFoundException(path);
          }
          return (SECRET + "\n").getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public Optional<String> environment(String name) {
          return name.equals("FLEET_SECRET") ? Optional.of(SECRET) : Optional.empty();
        }
      };
  private final DaemonSettingsLoader loader = new DaemonSettingsLoader(secrets);

  private List<TextFault> faultsOf(String text) {
    return loader.parse(text).fold(Seq::toJavaList, settings -> List.of());
  }

  @Nested
  class WhenTheSettingsAreValid {

    @Test
    void shouldLoadTheExample() {
      Either<Seq<TextFault>, DaemonSettings> loaded = loader.load(Path.of("examples/daemon.ini"));

      DaemonSettings settings = loaded.get();
      assertThat(settings.seedPeerAddresses()).hasSize(2);
      assertThat(settings.operatorTokenDigests()).containsOnlyKeys("anna", "biju");
      assertThat(settings.fleetSecret().bytes()).asString().isEqualTo(SECRET);
      assertThat(settings.queueLimits()).isEqualTo(new QueueLimits(200, 2_000, 33_554_432));
    }

    @Test
    void shouldUseDefaultValues() {
      DaemonSettings settings = loader.parse(VALID_SETTINGS).get();

      assertThat(settings.advertisedPeerAddress()).isEqualTo(new HostPort("::1", 0));
      assertThat(settings.advertisedPeerAddress()).hasToString("[::1]:0");
      assertThat(settings.shutdownTimeoutMs()).isEqualTo(30_000);
      assertThat(settings.logFormat()).isEqualTo(LogFormat.PLAIN);
    }

    @Test
    void shouldNotPrintSecretsAndDigests() {
      // Guards against a secret in a log line that prints the settings.
      DaemonSettings settings = loader.parse(VALID_SETTINGS).get();

      assertThat(settings + " " + settings.fleetSecret()).doesNotContain(SECRET, DIGEST);
    }
  }

  @Nested
  class WhenTheSettingsHaveFaults {

    @Test
    void shouldReportAllFaultsWithTheirLines() {
      String text =
          VALID_SETTINGS
              .replace("callers = 127.0.0.1:0", "callers = localhost:80")
              .replace("peers = [::1]:0", "peers = 0.0.0.0:0\nport = 3")
              .replace("log = 127.0.0.1:9001", "log = 127.0.0.1:0")
              .replace(DIGEST, "open-sesame");

      assertThat(faultsOf(text))
          .extracting(TextFault::line, TextFault::code, TextFault::key)
          .containsExactly(
              tuple(5, ResultCode.VALUE_OUT_OF_RANGE, "callers"),
              tuple(6, ResultCode.MISSING_SETTING, "peers"),
              tuple(7, ResultCode.UNKNOWN_SETTING, "port"),
              tuple(10, ResultCode.VALUE_OUT_OF_RANGE, "log"),
              tuple(15, ResultCode.VALUE_OUT_OF_RANGE, "anna"));
      assertThat(faultsOf(text)).noneMatch(fault -> fault.describe().contains("open-sesame"));
    }

    @Test
    void shouldRefuseUnusableSecretSettings() {
      String variable = "fleet-secret-env = FLEET_SECRET";

      assertThat(faultsOf(VALID_SETTINGS.replace(variable, "fleet-secret-env = OTHER"))).hasSize(1);
      assertThat(faultsOf(VALID_SETTINGS.replace(variable, "fleet-secret-file = /missing")))
          .hasSize(1);
      assertThat(faultsOf(VALID_SETTINGS.replace(variable, "fleet-secret = abc"))).hasSize(2);
      assertThat(faultsOf(VALID_SETTINGS.replace(variable, variable + "\nfleet-secret-file = /f")))
          .extracting(TextFault::code)
          .containsExactly(ResultCode.DUPLICATE_NAME);
    }

    @Test
    void shouldReportMissingSections() {
      assertThat(faultsOf(""))
          .extracting(TextFault::section)
          .containsExactlyInAnyOrder(
              "daemon", "listen", "peers", "platform", "secrets", "operators");
      assertThat(loader.load(Path.of("examples/none.ini")).isLeft()).isTrue();
    }
  }
}
