package org.laburnumarch.internal.node;

import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.WorkerTraffic;

/** Counts the messages to and from workers and their bytes, by kind. */
record MeteredTraffic(Meters meters) implements WorkerTraffic {

  @Override
  public void onRequest(String kind, int bytes) {
    meters.count("worker_requests_total", kind);
    meters.add("worker_sent_bytes_total", kind, bytes);
  }

  @Override
  public void onResponse(String kind, int bytes) {
    meters.add("worker_received_bytes_total", kind, bytes);
  }
}
