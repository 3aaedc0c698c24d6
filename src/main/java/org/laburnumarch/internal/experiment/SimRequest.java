package org.laburnumarch.internal.experiment;

import org.laburnumarch.internal.queue.QueuedRequest;

/** One simulated request. */
final class SimJob {
  private final int team;
  private final long serviceMs;
  private final SimDaemon daemon;
  private QueuedRequest<SimJob> queued;
  private int minion;
  private long startedAtMs;

  SimJob(int team, long serviceMs, SimDaemon daemon) {
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

  QueuedRequest<SimJob> queued() {
    return queued;
  }

  void setQueued(QueuedRequest<SimJob> entry) {
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
