package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.standin.DaemonSettingsFile;
import org.laburnumarch.internal.soak.PortBlock;

/** Tests when a daemon's process listens. */
class NodeCommandTest {

  private static final int PORT_COUNT = 5;
  private static final String IP = "127.0.0.2";

  @TempDir private Path directory;

  /** Guards against requests that are cut by SIGKILL in a daemon that is slow to start. */
  @Test
  void shouldNotListenIfItIsToldToStopBeforeItHasStarted() throws Exception {
    try (PortBlock ports = PortBlock.reserve(PORT_COUNT);
        ServerSocket callersPort = new ServerSocket(ports.first(), 1, InetAddress.getByName(IP))) {
      InetSocketAddress platform =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.first() + 3);
      Path file = directory.resolve("settings.json");
      DaemonSettingsFile.write(
          file,
          new DaemonSettingsFile.DaemonAddresses(
              "daemon",
              IP,
              callersPort.getLocalPort(),
              ports.first() + 1,
              ports.first() + 2,
              platform,
              platform));
      CompletableFuture<Long> signal = CompletableFuture.completedFuture(System.nanoTime());
      assertThat(NodeCommand.runUntil(signal, NodeSettings.read(file), () -> 0))
          .isEqualTo(ResultCode.OK.outcome().exitStatus());
    }
  }
}
