package org.laburnumarch.internal.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Parses addresses and ports of command-line arguments. */
final class Addresses {

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Parses {@code 127.0.0.1:8080}. */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("\"" + text + "\" has no port; write host:port");
    }
    return new InetSocketAddress(text.substring(0, colon), parsePort(text.substring(colon + 1)));
  }

  /** Parses {@code host:port,host:from-to,...}. */
  static List<InetSocketAddress> parseList(String text) {
    List<InetSocketAddress> found = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      int colon = part.lastIndexOf(':');
      if (colon < 1) {
        throw new IllegalArgumentException("\"" + part + "\" has no port; write host:port");
      }
      for (int port : parsePorts(part.substring(colon + 1))) {
        found.add(new InetSocketAddress(part.substring(0, colon), port));
      }
    }
    return List.copyOf(found);
  }

  /** Parses {@code 9000}, {@code 9000-9008} or a comma-separated list of these. */
  static List<Integer> parsePorts(String text) {
    List<Integer> ports = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      ports.addAll(parseRange(part));
    }
    return ports;
  }

  private static List<Integer> parseRange(String text) {
    String[] ends = text.split("-", -1);
    int from = parsePort(ends[0]);
    int to = ends.length > 1 ? parsePort(ends[1]) : from;
    if (ends.length > 2 || to < from) {
      throw new IllegalArgumentException(
          "\"" + text + "\" is not a port range; write for example 9000-9008");
    }
    List<Integer> ports = new ArrayList<>();
    for (int port = from; port <= to; port++) {
      ports.add(port);
    }
    return ports;
  }

  private static int parsePort(String text) {
    try {
      int port = Integer.parseInt(text.trim());
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    throw new IllegalArgumentException(
        "\"" + text + "\" is not a port; write a number from 0 to 65535");
  }

  /** Returns the address as {@code host:port}. */
  static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
