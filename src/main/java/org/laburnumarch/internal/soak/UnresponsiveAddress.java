package org.laburnumarch.internal.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * A listening address that does not respond to the opening packets of connections, as a machine
 * that is cut off. The kernel drops these packets while the queue of the listener is full, and the
 * connecting side sends them again.
 */
final class UnresponsiveAddress implements AutoCloseable {

  private static final int BACKLOG = 1;

  /** The queue holds one connection more than its backlog. */
  private static final int FILLERS = BACKLOG + 1;

  private final ServerSocketChannel listener;
  private final List<SocketChannel> fillers = new ArrayList<>();

  /**
   * Binds the address.
   *
   * @throws IOException if it cannot be bound
   */
  UnresponsiveAddress(InetSocketAddress address) throws IOException {
    listener = ServerSocketChannel.open().bind(address, BACKLOG);
    for (int i = 0; i < FILLERS; i++) {
      SocketChannel filler = SocketChannel.open();
      fillers.add(filler);
      filler.configureBlocking(false);
      // Over loopback the connection is established at once, unless the queue is full already.
      boolean unused = filler.connect(address);
    }
  }

  @Override
  public void close() {
    try {
      for (SocketChannel filler : fillers) {
        filler.close();
      }
      listener.close();
    } catch (IOException e) {
      Logger.warn("soak: an address cannot be closed: {}", e.getMessage());
    }
  }
}
