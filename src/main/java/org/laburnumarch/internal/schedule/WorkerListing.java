package org.laburnumarch.internal.schedule;

import java.net.InetSocketAddress;
import java.util.List;
import org.laburnumarch.internal.job.Resources;

/**
 * A worker as the registry lists it.
 *
 * @param id names one life of an instance as a worker; it may start again under the same id
 * @param service the service whose pool it is in
 * @param address where it takes orders
 * @param dataCentre where it runs
 * @param capacity what its tasks may reserve together
 * @param labels its kind and its rack
 * @param isDraining whether it is about to leave
 * @param remainingMs time that a draining worker goes on at least; 0 if it does not say
 * @param startedEpochMs when this life began, in Unix milliseconds; 0 if it does not say
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

  /** Returns the rack that the worker stands in; empty if it names none. */
  public String rack() {
    return labels.size() > 1 ? labels.get(1) : "";
  }
}
