package org.laburnumarch.internal.experiment;

import org.laburnumarch.internal.queue.Waiting;

/** One simulated request. */
final class SimJob {
  private final int team;
  private final long serviceMs;
  private final SimDaemon daemon;
  private Waiting<SimJob> waiting;
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

  Waiting<SimJob> waiting() {
    return waiting;
  }

  void setWaiting(Waiting<SimJob> entry) {
    waiting = entry;
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
