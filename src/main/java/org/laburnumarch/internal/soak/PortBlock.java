package org.laburnumarch.internal.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * Reserves a range of ports for one run. The last port of the range stays bound, so that no other
 * run on this machine gets the same range.
 */
public final class PortBlock implements AutoCloseable {

  /**
   * Kept with {@link #HIGHEST_PORT} below 32,768, where the ephemeral ports of the kernel begin.
   */
  private static final int LOWEST_PORT = 15_000;

  private static final int HIGHEST_PORT = 32_000;
  private static final int MAX_TRIES = 50;

  private final int first;
  private final ServerSocket reservation;

  private PortBlock(int first, ServerSocket reservation) {
    this.first = first;
    this.reservation = reservation;
  }

  /**
   * Reserves a range.
   *
   * @param size number of ports, including the one that stays bound
   * @throws IOException if no range is free
   */
  public static PortBlock reserve(int size) throws IOException {
    int blockCount = (HIGHEST_PORT - LOWEST_PORT) / size;
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      int first = LOWEST_PORT + ThreadLocalRandom.current().nextInt(blockCount) * size;
      try {
        return new PortBlock(
            first, new ServerSocket(first + size - 1, 1, InetAddress.getLoopbackAddress()));
      } catch (IOException e) {
        Logger.debug(
            "ports: the last port of the range {} to {} is in use; trying another range",
            first,
            first + size - 1);
      }
    }
    throw new IOException("found no range of " + size + " ports whose last port is free");
  }

  /** Returns the first port of the range. */
  public int first() {
    return first;
  }

  /** Releases the range. */
  @Override
  public void close() throws IOException {
    reservation.close();
  }
}
