package org.laburnumarch.internal.state;

/**
 * A key that was granted.
 *
 * @param secretDigest SHA-256 of the secret, hexadecimal
 */
public record KeyEntry(
    String keyId, String team, String secretDigest, long grantedAtOffset, boolean isRevoked) {

  /** Returns the same key, permanently invalid. */
  public KeyEntry revoked() {
    return new KeyEntry(keyId, team, secretDigest, grantedAtOffset, true);
  }
}
