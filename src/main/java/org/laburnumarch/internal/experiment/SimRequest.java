package org.laburnumarch.internal.experiment;

import org.laburnumarch.internal.queue.QueuedRequest;

/** One simulated request. */
final class SimRequest {
  private final int team;
  private final long serviceMs;
  private final SimDaemon daemon;
  private QueuedRequest<SimRequest> queued;
  private int minion;
  private long startedAtMs;

  SimRequest(int team, long serviceMs, SimDaemon daemon) {
    this.team = team;
    this.serviceMs = serviceMs;
    this.daemon = daemon;
  }

  int team() {
    return team;
  }

  long serviceMs() {
    return serviceMs;
  }

  SimDaemon daemon() {
    return daemon;
  }

  QueuedRequest<SimRequest> queued() {
    return queued;
  }

  void setQueued(QueuedRequest<SimRequest> entry) {
    queued = entry;
  }

  int minion() {
    return minion;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  void start(int atMinion, long atMs) {
    minion = atMinion;
    startedAtMs = atMs;
  }
}
