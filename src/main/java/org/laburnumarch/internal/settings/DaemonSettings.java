package org.laburnumarch.internal.settings;

import java.util.List;
import java.util.Map;

/**
 * Settings of one daemon.
 *
 * @param instance id of the instance that the daemon runs on, as in the instance list
 * @param dataCentre data centre of that instance
 * @param callerListenAddress address that callers and operators connect to
 * @param peerListenAddress address that the daemon listens on for other daemons
 * @param advertisedPeerAddress address that other daemons are told to connect to
 * @param seedPeerAddresses addresses of daemons to contact before the log has provided any
 * @param logAddress HTTP address of the platform's log
 * @param instanceListAddress HTTP address of the platform's instance list and pools
 * @param operatorTokenDigests SHA-256 of each operator's token, hexadecimal, by the operator's name
 * @param shutdownTimeoutMs maximum duration of a graceful shutdown, in milliseconds
 */
public record DaemonSettings(
    String instance,
    String dataCentre,
    HostPort callerListenAddress,
    HostPort peerListenAddress,
    HostPort advertisedPeerAddress,
    List<HostPort> seedPeerAddresses,
    HostPort logAddress,
    HostPort instanceListAddress,
    FleetSecret fleetSecret,
    Map<String, String> operatorTokenDigests,
    QueueLimits queueLimits,
    int shutdownTimeoutMs,
    LogFormat logFormat) {

  public DaemonSettings {
    seedPeerAddresses = List.copyOf(seedPeerAddresses);
    operatorTokenDigests = Map.copyOf(operatorTokenDigests);
  }

  /** Returns the daemon's instance, data centre and address, without secrets or digests. */
  @Override
  public String toString() {
    return "DaemonSettings(" + instance + ", " + dataCentre + ", " + callerListenAddress + ")";
  }
}
