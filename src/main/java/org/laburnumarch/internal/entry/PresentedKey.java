package org.laburnumarch.internal.entry;

import java.util.Optional;

/**
 * A key as a caller presents it, with the digest of its secret.
 *
 * @param secretDigest SHA-256 digest of the secret, in hexadecimal
 */
record PresentedKey(String keyId, String secretDigest) {
  private static final String SCHEME = "Bearer ";
  private static final String PREFIX = "lab_";

  /** Parses {@code Bearer lab_<keyId>_<secret>}; the key id has no underscore. */
  static Optional<PresentedKey> parse(CharSequence header) {
    String text = header == null ? "" : header.toString();
    if (!text.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String token = text.substring(SCHEME.length()).trim();
    int end = token.indexOf('_', PREFIX.length());
    if (!token.startsWith(PREFIX) || end <= PREFIX.length() || end == token.length() - 1) {
      return Optional.empty();
    }
    String digest = KeyCheck.digestOf(token.substring(end + 1));
    return Optional.of(new PresentedKey(token.substring(PREFIX.length(), end), digest));
  }
}
