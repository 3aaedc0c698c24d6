package org.laburnumarch.internal.settings;

import java.util.Arrays;

/**
 * The secret with which daemons authenticate each other. {@link #toString()} does not contain it,
 * so that it cannot reach a log.
 */
public final class FleetSecret {

  /** Minimum size in bytes; a shorter secret could be found by offline guessing. */
  public static final int MIN_BYTES = 16;

  private final byte[] secret;

  /** Creates a secret from its bytes. */
  public FleetSecret(byte[] secret) {
    this.secret = Arrays.copyOf(secret, secret.length);
  }

  /** Returns a copy of the secret, for use as the key of a message authentication code. */
  public byte[] bytes() {
    return Arrays.copyOf(secret, secret.length);
  }

  @Override
  public String toString() {
    return "FleetSecret(hidden)";
  }
}
