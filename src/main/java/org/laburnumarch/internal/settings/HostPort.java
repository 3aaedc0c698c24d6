package org.laburnumarch.internal.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a port.
 *
 * @param ipAddress IPv4 address, or IPv6 address without brackets
 * @param port 0 to 65535; 0 only for a listener, whose port the operating system then chooses
 */
public record HostPort(String ipAddress, int port) {

  private static final Pattern PATTERN =
      Pattern.compile("(?:\\[([^\\]]+)]|([^:\\[\\]]+)):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address of the form {@code 127.0.0.1:8080} or {@code [::1]:8080}; empty for another
   * form, a host name or a port above 65535.
   */
  public static Optional<HostPort> parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String host = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
    int port = Integer.parseInt(matcher.group(3));
    boolean isAddress = NetUtil.createByteArrayFromIpAddressString(host) != null;
    return isAddress && port <= MAX_PORT ? Optional.of(new HostPort(host, port)) : Optional.empty();
  }

  /** Returns the address for a socket, without a name lookup. */
  public InetSocketAddress toSocketAddress() {
    try {
      byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ipAddress);
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(ipAddress + " is not an IP address", e);
    }
  }

  @Override
  public String toString() {
    return (ipAddress.contains(":") ? "[" + ipAddress + "]" : ipAddress) + ":" + port;
  }
}
