package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CpuQuotaTest {

  private static final int QUOTA_MS = 10;

  private Process process;

  @BeforeEach
  void startBusyProcess() throws Exception {
    process = new ProcessBuilder("sh", "-c", "while :; do :; done").start();
  }

  @AfterEach
  void endBusyProcess() {
    process.destroyForcibly();
  }

  private Duration cpuTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }

  @Test
  void shouldHoldABusyProcessToItsShareOfEachPeriod() throws Exception {
    long startedAtNs = System.nanoTime();
    try (CpuQuota quota = new CpuQuota(List.of(() -> OptionalLong.of(process.pid())), QUOTA_MS)) {
      assertThat(quota).isNotNull();
      TimeUnit.SECONDS.sleep(2);
    }
    long periods = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNs) / 100;
    assertThat(cpuTime()).isLessThan(Duration.ofMillis((periods + 2) * 2 * QUOTA_MS));
  }

  @Test
  void shouldNotLeaveAProcessStopped() throws Exception {
    try (CpuQuota quota = new CpuQuota(List.of(() -> OptionalLong.of(process.pid())), QUOTA_MS)) {
      assertThat(quota).isNotNull();
      TimeUnit.MILLISECONDS.sleep(300);
    }
    Duration before = cpuTime();
    Awaitility.await().until(() -> cpuTime().compareTo(before.plusMillis(100)) > 0);
  }
}
