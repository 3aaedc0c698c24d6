package org.laburnumarch.internal.platform.standin;

import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.schedule.EndKind;

/** What one worker's process has shown of one run; all times are Unix milliseconds. */
final class ObservedRun {
  private final String task;
  private final long run;
  private final String worker;
  private final String dataCentre;
  private final List<String> events = new ArrayList<>();
  private boolean isSuccessful;
  private boolean isAcknowledged;

  /** Whether another run started after this one had ended successfully. */
  private ObservedRun successor;

  ObservedRun(SimulatedWorker worker, String task, long run) {
    this.task = task;
    this.run = run;
    this.worker = worker.id();
    this.dataCentre = worker.dataCentre();
  }

  void add(String event, long epochMs) {
    events.add(event + " at " + epochMs);
  }

  void end(EndKind how, boolean countsAsSuccess, long epochMs) {
    add("ended " + how, epochMs);
    isSuccessful = countsAsSuccess;
  }

  void acknowledge(long epochMs) {
    add("acknowledged", epochMs);
    isAcknowledged = true;
  }

  /** Returns whether the run ended as done, and the task needs no other run. */
  boolean isSuccessful() {
    return isSuccessful;
  }

  boolean isSuccessAcknowledged() {
    return isSuccessful && isAcknowledged;
  }

  /** Records a run that started after this one had ended successfully. */
  void supersede(ObservedRun later) {
    if (successor == null) {
      successor = later;
    }
  }

  /** Returns the first run that started after this one had ended successfully; null if none has. */
  ObservedRun successor() {
    return successor;
  }

  @Override
  public String toString() {
    return task + " run " + run + " on " + worker + " in " + dataCentre + ' ' + events;
  }
}
