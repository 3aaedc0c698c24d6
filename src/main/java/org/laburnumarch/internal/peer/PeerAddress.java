package org.laburnumarch.internal.peer;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Parses addresses of peers. Host names are not resolved, since a lookup would block the event
 * loop.
 */
final class PeerAddress {

  private static final int MAX_PORT = 65_535;

  private PeerAddress() {}

  /** Parses {@code 10.0.0.1:7080} or {@code [::1]:7080}; empty for any other form. */
  static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] host =
        colon < 1 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return host == null || port < 1 || port > MAX_PORT
          ? Optional.empty()
          : Optional.of(new InetSocketAddress(InetAddress.getByAddress(host), port));
    } catch (NumberFormatException | UnknownHostException e) {
      return Optional.empty();
    }
  }
}
