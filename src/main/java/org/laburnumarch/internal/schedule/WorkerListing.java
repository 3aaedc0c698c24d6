package org.laburnumarch.internal.schedule;

import java.net.InetSocketAddress;
import java.util.List;
import org.laburnumarch.internal.job.Resources;

/**
 * A worker's entry in the registry.
 *
 * @param id the worker's id; a process that restarts may keep it
 * @param service the service whose pool it is in
 * @param address where it receives orders
 * @param dataCentre the data centre that it runs in
 * @param capacity the total that its tasks may reserve
 * @param labels its labels; the first is its kind, the second its rack
 * @param isDraining whether it will shut down and takes no new tasks
 * @param remainingMs minimum time in milliseconds until a draining worker shuts down; 0 if not
 *     stated
 * @param startedEpochMs when this incarnation began, in Unix milliseconds; 0 if not stated
 */
public record WorkerListing(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    Resources capacity,
    List<String> labels,
    boolean isDraining,
    long remainingMs,
    long startedEpochMs) {

  /** Copies the list. */
  public WorkerListing {
    labels = List.copyOf(labels);
  }

  /** Returns the worker's rack; empty if none is listed. */
  public String rack() {
    return labels.size() > 1 ? labels.get(1) : "";
  }
}
