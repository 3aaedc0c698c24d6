package org.laburnumarch.internal.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.laburnumarch.Laburnumarch;
import org.laburnumarch.internal.platform.NodeSettings;
import org.tinylog.Logger;

/** Runs one daemon as a separate process and sends signals to it. */
final class DaemonProcess implements AutoCloseable {

  private static final long TERMINATION_TIMEOUT_S = 10;

  /** A line of /proc/net/tcp, with the local port and the inode. */
  private static final Pattern SOCKET =
      Pattern.compile(" *\\d+: \\p{XDigit}+:(\\p{XDigit}+) +(?:\\S+ +){7}(\\d+)");

  private final String name;
  private final Path settings;
  private final File output;
  private final InetSocketAddress callerAddress;
  private final InetSocketAddress readinessAddress;
  private List<String> program =
      List.of("-cp", System.getProperty("java.class.path"), Laburnumarch.class.getName());
  private List<String> memory = List.of("-Xmx96m");
  private Optional<Path> hostsFile = Optional.empty();
  private boolean isInService = true;
  private volatile Process process;
  private volatile boolean isPaused;

  DaemonProcess(
      String name,
      Path settings,
      Path output,
      InetSocketAddress callerAddress,
      InetSocketAddress readinessAddress) {
    this.name = name;
    this.settings = settings;
    this.output = output.toFile();
    this.callerAddress = callerAddress;
    this.readinessAddress = readinessAddress;
  }

  String name() {
    return name;
  }

  /** Returns the address for callers. */
  InetSocketAddress callerAddress() {
    return callerAddress;
  }

  /** Returns the address of the readiness check. */
  InetSocketAddress readinessAddress() {
    return readinessAddress;
  }

  /** Makes the next process run another build in place of this class path. */
  void useJar(Path jar) {
    program = List.of("-jar", jar.toString());
  }

  /** Makes the next process look up the names of hosts in a file. */
  void useHostsFile(Path file) {
    hostsFile = Optional.of(file);
  }

  /** Makes the next process run with the heap of a deployment and an archive of its classes. */
  void useArchive(Path archive) {
    memory = List.of("-Xmx160m", "-XX:SharedArchiveFile=" + archive);
  }

  /** Sets whether {@link #start} starts the process. */
  void setInService(boolean isInService) {
    this.isInService = isInService;
  }

  boolean isInService() {
    return isInService;
  }

  /** Returns whether the daemon is not in service and never was. */
  boolean isSpare() {
    return !isInService && process == null;
  }

  /** Starts the process unless it runs already or the daemon is not in service. */
  void start() throws IOException {
    if (!isInService || (process != null && process.isAlive())) {
      return;
    }
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
    command.addAll(memory);
    hostsFile.ifPresent(file -> command.add("-Djdk.net.hosts.file=" + file));
    command.addAll(program);
    command.add("node");
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(NodeSettings.PATH_VARIABLE, settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    process = builder.start();
    isPaused = false;
  }

  /** Returns the id of the process if it runs and no fault has suspended it. */
  OptionalLong runningPid() {
    Process current = process;
    return current == null || isPaused || !current.isAlive()
        ? OptionalLong.empty()
        : OptionalLong.of(current.pid());
  }

  boolean isRunning() {
    return process != null && process.isAlive() && !isPaused;
  }

  /**
   * Returns the process that was started last.
   *
   * @throws IllegalStateException if none was started
   */
  ProcessHandle lastProcess() {
    if (process == null) {
      throw new IllegalStateException(name + " was not started");
    }
    return process.toHandle();
  }

  /** Returns the local ports of the sockets that the process has open; needs Linux. */
  Set<Integer> localPorts() {
    return ownersOfLocalPorts(List.of(this)).keySet();
  }

  /** Returns the local ports of the sockets that processes have open; needs Linux. */
  static Map<Integer, DaemonProcess> ownersOfLocalPorts(List<DaemonProcess> daemons) {
    Map<String, DaemonProcess> ownersBySocket = new HashMap<>();
    daemons.forEach(daemon -> daemon.openFiles().forEach(file -> ownersBySocket.put(file, daemon)));
    Map<Integer, DaemonProcess> owners = new HashMap<>();
    for (String table : List.of("tcp", "tcp6")) {
      try (Stream<String> lines = Files.lines(Path.of("/proc/net", table))) {
        lines.forEach(
            line -> {
              Matcher socket = SOCKET.matcher(line);
              DaemonProcess owner =
                  socket.lookingAt()
                      ? ownersBySocket.get("socket:[" + socket.group(2) + ']')
                      : null;
              if (owner != null) {
                owners.put(Integer.parseInt(socket.group(1), 16), owner);
              }
            });
      } catch (IOException | UncheckedIOException e) {
        Logger.debug("soak: the sockets cannot be listed: {}", e.getMessage());
      }
    }
    return owners;
  }

  private Set<String> openFiles() {
    Set<String> targets = new HashSet<>();
    if (process == null || !process.isAlive()) {
      return targets;
    }
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      for (Path file : files) {
        addTarget(file, targets);
      }
    } catch (IOException | DirectoryIteratorException e) {
      Logger.debug("soak: the files of {} cannot be listed: {}", name, e.getMessage());
    }
    return targets;
  }

  private static void addTarget(Path file, Set<String> targets) throws IOException {
    try {
      targets.add(Files.readSymbolicLink(file).toString());
    } catch (NoSuchFileException e) {
      Logger.trace("soak: {} was just closed", file);
    }
  }

  /** Sends SIGKILL. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Sends SIGTERM. */
  void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  /** Sends SIGHUP. */
  void hangUp() {
    signal("HUP");
  }

  /** Sends SIGSTOP. */
  void pause() {
    isPaused = true;
    signal("STOP");
  }

  /** Sends SIGCONT. */
  void resume() {
    isPaused = false;
    signal("CONT");
  }

  private void signal(String signal) {
    if (process == null || !process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-s", signal, Long.toString(process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .waitFor(1, TimeUnit.SECONDS);
    } catch (IOException e) {
      Logger.warn("soak: signal {} to {} failed: {}", signal, name, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process and waits until it has terminated. */
  @Override
  public void close() {
    if (process == null) {
      return;
    }
    resume();
    process.destroyForcibly();
    try {
      if (!process.waitFor(TERMINATION_TIMEOUT_S, TimeUnit.SECONDS)) {
        Logger.warn("soak: {} does not terminate", name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
