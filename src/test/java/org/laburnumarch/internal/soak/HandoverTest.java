package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests planned handovers of the ownership between daemon processes on a simulated platform. */
class HandoverTest {

  private static final int PORT_COUNT = 300;
  private static final long TIMEOUT_MS = 20_000;

  @TempDir private Path directory;

  private final EventLoopThread loop = new EventLoopThread();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final InvariantChecker checker = new InvariantChecker(clock, line -> {});
  private PortBlock ports;
  private SoakFleet fleet;
  private SoakCallers callers;

  @BeforeEach
  void startPlatform() throws Exception {
    ports = PortBlock.reserve(PORT_COUNT);
    fleet = new SoakFleet(directory, ports.first(), 3, loop, clock, checker, 1);
    callers = new SoakCallers(fleet.daemons(), loop, clock, checker, 1, false);
    loop.call(
        () -> {
          fleet.platform().start();
          return null;
        });
  }

  @AfterEach
  void killAllProcesses() throws Exception {
    loop.call(
        () -> {
          callers.close();
          fleet.close();
          return null;
        });
    loop.close();
    ports.close();
  }

  private void setLinkMbps(int daemon, String linkMbps) throws IOException {
    Path settings = directory.resolve("daemon-" + daemon + ".json");
    String text = Files.readString(settings);
    assertThat(text).contains("\"linkMbps\":1000.0");
    Files.writeString(settings, text.replace("\"linkMbps\":1000.0", "\"linkMbps\":" + linkMbps));
  }

  private void start(int daemon) throws Exception {
    loop.call(
        () -> {
          fleet.start(fleet.daemons().get(daemon));
          return null;
        });
  }

  private OwnerRecord owner() throws Exception {
    return loop.call(
        () -> {
          byte[] stored =
              fleet
                  .platform()
                  .store()
                  .model()
                  .value(StoreClient.OWNERSHIP_LOG, "owner")
                  .orElse(new OwnerRecord(0, "", "", 0, 0, true, 0).encode());
          return OwnerRecord.decode(stored);
        });
  }

  private void awaitOwner(String daemon, long term) throws Exception {
    Callable<Boolean> isOwner =
        () -> {
          OwnerRecord record = owner();
          return record.term() == term && record.holder().startsWith(daemon + '/');
        };
    long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (!isOwner.call() && System.currentTimeMillis() < endMs) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(isOwner.call()).as("%s owns term %d, but: %s", daemon, term, owner()).isTrue();
  }

  /** Waits for a line in a daemon's log, which is written after the store has answered. */
  private void awaitLog(int daemon, String text) throws Exception {
    Path file = directory.resolve("daemon-" + daemon + ".log");
    long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (!Files.readString(file).contains(text) && System.currentTimeMillis() < endMs) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(Files.readString(file)).contains(text);
  }

  /** Guards against a stop that leaves the ownership to whichever daemon claims first. */
  @Test
  void shouldHandOverToTheLargestDaemonWhenTheOwnerStops() throws Exception {
    setLinkMbps(1, "10.0");
    start(0);
    awaitOwner("daemon-0", 1);
    loop.execute(callers::start);
    start(1);
    start(2);
    TimeUnit.SECONDS.sleep(6);
    loop.execute(() -> fleet.daemons().get(0).terminate());
    awaitOwner("daemon-2", 2);
    awaitLog(0, "reason=STOPPING outcome=released");
    awaitLog(2, "why=OFFERED");
    assertThat(loop.call(checker::breaches)).isEmpty();
  }

  /** Guards against an owner that keeps the ownership on a link that delays its orders. */
  @Test
  void shouldHandOverOnceIfTheOwnersLinkIsTooSlow() throws Exception {
    setLinkMbps(0, "10.0");
    setLinkMbps(1, "10.0");
    start(0);
    awaitOwner("daemon-0", 1);
    loop.execute(callers::start);
    start(1);
    start(2);
    TimeUnit.SECONDS.sleep(6);
    assertThat(owner().term()).as("nothing moves while replies are quick").isEqualTo(1);
    loop.execute(
        () -> fleet.workerProxies().forEach(proxy -> proxy.setMode(LoopbackProxy.Mode.DELAY)));
    awaitOwner("daemon-2", 2);
    TimeUnit.SECONDS.sleep(6);
    assertThat(owner().term()).as("the ownership does not move back").isEqualTo(2);
    awaitLog(0, "reason=LINK outcome=released");
    assertThat(loop.call(checker::breaches)).isEmpty();
  }
}
