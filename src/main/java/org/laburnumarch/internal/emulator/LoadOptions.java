package org.laburnumarch.internal.emulator;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Options of the load generator. */
final class LoadOptions {

  @Parameter(names = "--entries", description = "host:port,host:port,...", required = true)
  private String entries = "";

  @Parameter(
      names = "--minions",
      description = "Minions whose run counts are collected, host:from-to,...")
  private String minions = "";

  @Parameter(
      names = "--services",
      description = "Comma-separated names of services",
      required = true)
  private String services = "";

  @Parameter(names = "--key-file", description = "team=path; may be given several times")
  private List<String> keyFiles = new ArrayList<>();

  @Parameter(
      names = "--open-services",
      description = "Comma-separated services called without a key")
  private String openServices = "";

  /** Number of closed-loop callers; each has one request in flight. */
  @Parameter(names = "--callers", description = "Closed loop: concurrent requests")
  int callers = 16;

  /** Requests started per second, regardless of those in flight; 0 for the closed loop. */
  @Parameter(
      names = "--rate",
      description = "Open loop: requests started per second; 0 for the closed loop")
  double ratePerSecond;

  /** Maximum number of the open loop's requests in flight. */
  @Parameter(
      names = "--max-outstanding",
      description = "Open loop: maximum number of concurrent requests")
  int maxOutstanding = 2_000;

  /** Time after which no request is started. */
  @Parameter(names = "--seconds", description = "Time in which requests are started")
  long seconds = 10;

  /** Maximum number of requests. */
  @Parameter(names = "--max-requests", description = "Maximum number of requests")
  int maxRequests = 200_000;

  /** Fraction of the requests that are POST. */
  @Parameter(names = "--post-share", description = "Fraction of the requests that are POST")
  double postFraction = 0.5;

  /** Deadline of each request. */
  @Parameter(names = "--timeout-ms", description = "Deadline of each request, from its start")
  long timeoutMs = 5_000;

  /** Pause of a closed-loop caller after a request that was refused or failed. */
  @Parameter(
      names = "--refusal-pause-ms",
      description = "Closed loop: pause after a refused or failed request")
  long refusalPauseMs = 50;

  /** Wait before the run counts are collected, so that late runs are counted. */
  @Parameter(names = "--settle-ms", description = "Wait before the run counts are collected")
  long settleMs = 500;

  /** Seed of all randomness. */
  @Parameter(names = "--seed", description = "Seed of the random numbers")
  long seed = 1;

  /**
   * A caller's identity.
   *
   * @param team the team
   * @param key the key to present; empty for none
   */
  record Identity(String team, String key) {}

  /** Returns the entries. */
  List<InetSocketAddress> entryAddresses() {
    return Addresses.parseList(entries);
  }

  /** Returns the minions; empty if none were named. */
  List<InetSocketAddress> minionAddresses() {
    return minions.isEmpty() ? List.of() : Addresses.parseList(minions);
  }

  /** Returns the services. */
  List<String> serviceNames() {
    return List.of(services.split(",", -1));
  }

  /** Returns whether the service is called without a key. */
  boolean isOpen(String service) {
    return List.of(openServices.split(",", -1)).contains(service);
  }

  /** Reads the key files; returns one identity without a key if there are none. */
  List<Identity> identities() throws IOException {
    List<Identity> found = new ArrayList<>();
    for (String item : keyFiles) {
      int separator = item.indexOf('=');
      if (separator < 1) {
        throw new IllegalArgumentException("\"" + item + "\" has no team; write team=path");
      }
      found.add(
          new Identity(
              item.substring(0, separator),
              Files.readString(Path.of(item.substring(separator + 1))).trim()));
    }
    return found.isEmpty() ? List.of(new Identity("none", "")) : List.copyOf(found);
  }
}
