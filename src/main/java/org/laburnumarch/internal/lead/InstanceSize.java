package org.laburnumarch.internal.lead;

import java.util.Collection;

/**
 * The size of a daemon's instance, as far as it limits an owner. The owner sends all orders with
 * the programs of the jobs and receives all reports, so it needs network as much as processor time.
 *
 * @param cores processor time that the daemon may use per second, in seconds of one core
 * @param linkMbps speed of the instance's network link in Mbit/s
 */
public record InstanceSize(double cores, double linkMbps) {

  /** The size of an instance of which none is known. */
  public static final InstanceSize UNKNOWN = new InstanceSize(0, 0);

  /**
   * Delay of a claim by a daemon on an instance that is tiny beside the largest one, in
   * milliseconds. It is longer than the time that a daemon on the largest one may need to learn
   * that a claim is due: the time limit of a read without an answer, and the time until the next
   * read.
   */
  private static final long MAX_CLAIM_DELAY_MS = OwnerWatch.READ_TIMEOUT_MS + 200;

  /**
   * Returns by how much a daemon on this instance delays a claim, in milliseconds, so that daemons
   * on larger instances claim first: by nothing on the largest one, and by more the smaller its
   * scarcer resource is.
   *
   * @param known the sizes of all known instances
   */
  public long claimDelayMs(Collection<InstanceSize> known) {
    return Math.round(MAX_CLAIM_DELAY_MS * (1 - shareOf(known)));
  }

  /**
   * Returns this instance's part of the largest one's resources, by the scarcer resource, from 0 to
   * 1.
   *
   * @param known the sizes of all known instances
   */
  public double shareOf(Collection<InstanceSize> known) {
    double largestCores = known.stream().mapToDouble(InstanceSize::cores).max().orElse(cores);
    double largestMbps = known.stream().mapToDouble(InstanceSize::linkMbps).max().orElse(linkMbps);
    return Math.min(share(cores, largestCores), share(linkMbps, largestMbps));
  }

  private static double share(double own, double largest) {
    return largest <= 0 ? 1 : Math.min(1, own / largest);
  }
}
