package org.laburnumarch.internal.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.standin.InvariantChecker;
import org.laburnumarch.internal.soak.LoopbackProxy.Mode;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Guards against takeovers from an owner that renews its ownership while packets are lost. */
class LostPacketsTest {

  private static final int PORT_COUNT = 300;
  private static final long TIMEOUT_MS = 20_000;

  @TempDir private Path directory;

  private final EventLoopThread loop = new EventLoopThread();
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private PortBlock ports;
  private SoakFleet fleet;

  @BeforeEach
  void startFleet() throws Exception {
    ports = PortBlock.reserve(PORT_COUNT);
    fleet =
        new SoakFleet(
            directory,
            ports.first(),
            3,
            loop,
            clock,
            new InvariantChecker(clock, line -> {}),
            SoakLoad.SHORT_TASKS.layout(),
            true,
            1);
    onLoop(
        () -> {
          fleet.platform().start();
          fleet.daemons().forEach(fleet::start);
        });
    // All daemons have a link to the owner by then.
    awaitRenewals(10);
  }

  @AfterEach
  void killAllProcesses() throws Exception {
    onLoop(fleet::close);
    loop.close();
    ports.close();
  }

  private void onLoop(Runnable action) throws Exception {
    loop.call(
        () -> {
          action.run();
          return null;
        });
  }

  private OwnerRecord owner() throws Exception {
    byte[] stored =
        loop.call(
            () ->
                fleet
                    .platform()
                    .store()
                    .model()
                    .value(StoreClient.OWNERSHIP_LOG, "owner")
                    .orElse(new OwnerRecord(0, "", "", 0, 0, true, 0).encode()));
    return OwnerRecord.decode(stored);
  }

  /** Waits until the owner has renewed its ownership some times, and returns its record. */
  private OwnerRecord awaitRenewals(long count) throws Exception {
    OwnerRecord first = owner();
    OwnerRecord record = first;
    long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    while (record.renewalNumber() < first.renewalNumber() + count
        && (record.term() == first.term() || first.term() == 0)
        && System.currentTimeMillis() < endMs) {
      TimeUnit.MILLISECONDS.sleep(20);
      record = owner();
    }
    return record;
  }

  @Test
  void shouldKeepTheOwnerThatOneDaemonCannotReach() throws Exception {
    OwnerRecord before = owner();
    onLoop(
        () -> {
          DaemonProcess owner = fleet.owner().orElseThrow();
          DaemonProcess other =
              fleet.daemons().stream().filter(it -> it != owner).findFirst().orElseThrow();
          fleet.linkProxies(owner, other::equals).forEach(proxy -> proxy.setMode(Mode.UNREACHABLE));
        });
    assertThat(awaitRenewals(10).holder()).isEqualTo(before.holder());
  }

  @Test
  void shouldKeepTheOwnerWhoseConnectionsToTheStoreGoSilent() throws Exception {
    OwnerRecord before = owner();
    onLoop(() -> fleet.storeProxy(fleet.owner().orElseThrow()).silenceConnections());
    assertThat(awaitRenewals(6).holder()).isEqualTo(before.holder());
  }
}
