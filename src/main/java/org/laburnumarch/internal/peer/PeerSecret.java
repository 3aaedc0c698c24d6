package org.laburnumarch.internal.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that all daemons of a fleet have in their settings. */
public final class PeerSecret {

  private static final String ALGORITHM = "HmacSHA256";

  /** Shorter secrets could be guessed from one recorded handshake. */
  private static final int MIN_BYTES = 16;

  private final SecretKeySpec key;

  private PeerSecret(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw new IllegalArgumentException(
          "the fleet secret has " + secret.length + " bytes; set one of at least " + MIN_BYTES);
    }
    this.key = new SecretKeySpec(secret, ALGORITHM);
  }

  /**
   * Returns the secret with the given bytes from the settings.
   *
   * @throws IllegalArgumentException if it is too short
   */
  public static PeerSecret of(byte[] secret) {
    return new PeerSecret(secret);
  }

  /** Returns an HMAC over all parts, each preceded by its length. */
  byte[] prove(byte[]... parts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      for (byte[] part : parts) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        mac.update(part);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java virtual machine has no " + ALGORITHM, e);
    }
  }

  /** Compares two proofs in constant time. */
  static boolean isSame(byte[] one, byte[] other) {
    return MessageDigest.isEqual(one, other);
  }

  @Override
  public String toString() {
    return "PeerSecret";
  }
}
