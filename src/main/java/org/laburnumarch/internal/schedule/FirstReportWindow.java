package org.laburnumarch.internal.schedule;

/**
 * Limits how many workers are asked for their first report under this owner's term at the same
 * time.
 *
 * <p>Meant for a process that takes over a fleet of hundreds of workers soon after its start. It
 * needs milliseconds of processor time for each connection; if it opened all at once, the reports
 * would time out before it could read them.
 */
final class FirstReportWindow {

  private static final int MAX_AWAITED = 48;

  private int awaited;

  /** Returns whether a worker without a report may be asked now. */
  boolean hasRoom() {
    return awaited < MAX_AWAITED;
  }

  /** Records that a worker has been asked. */
  void onRequested(Worker worker) {
    if (!worker.isFirstReportAwaited) {
      worker.isFirstReportAwaited = true;
      awaited++;
    }
  }

  /** Records that a worker's first report has arrived, was missed, or is not awaited any more. */
  void onSettled(Worker worker) {
    if (worker.isFirstReportAwaited) {
      worker.isFirstReportAwaited = false;
      awaited--;
    }
  }
}
