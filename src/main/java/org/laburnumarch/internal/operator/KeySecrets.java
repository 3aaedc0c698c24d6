package org.laburnumarch.internal.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates the secrets of keys and the digests that are stored in their place. */
public final class KeySecrets {

  private static final int SECRET_BYTES = 32;
  private static final int KEY_ID_DIGITS = 16;

  private final SecureRandom random;

  /** Creates a generator that uses the given source of random bytes. */
  public KeySecrets(SecureRandom random) {
    this.random = random;
  }

  /** Returns a new secret of 256 random bits as 64 hexadecimal digits. */
  public String newSecret() {
    byte[] secret = new byte[SECRET_BYTES];
    random.nextBytes(secret);
    return HexFormat.of().formatHex(secret);
  }

  /** Returns the SHA-256 digest of a secret's characters in UTF-8, as hexadecimal digits. */
  public static String digestOf(String secret) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Returns the id of the key that an operation grants.
   *
   * <p>It is derived from the operation id, so that an operator who lost the response can repeat
   * the command to learn which key to revoke.
   */
  public static String keyIdOf(String operationId) {
    return digestOf("key of " + operationId).substring(0, KEY_ID_DIGITS);
  }

  /** Returns the bearer token that callers send. */
  public static String bearerTokenOf(String keyId, String secret) {
    return "lab_" + keyId + "_" + secret;
  }
}
