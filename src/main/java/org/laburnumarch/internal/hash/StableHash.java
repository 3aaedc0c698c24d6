package org.laburnumarch.internal.hash;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** A hash that is the same in every process, for choices on which all daemons must agree. */
public final class StableHash {
  private static final char SEPARATOR = '\n';

  private StableHash() {}

  /** Returns the hash of a name. */
  public static long of(String name) {
    return hash(name);
  }

  /**
   * Returns the hash of two names; a separator keeps {@code ("ab", "c")} and {@code ("a", "bc")}
   * apart.
   */
  public static long of(String first, String second) {
    return hash(first + SEPARATOR + second);
  }

  /** Returns the hash of two names and a number. */
  public static long of(String first, String second, int number) {
    return hash(first + SEPARATOR + second + SEPARATOR + number);
  }

  private static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }
}
