package org.laburnumarch.internal.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.KeyEntry;

/** Checks presented keys against the granted keys. */
public final class KeyCheck {
  /** Compared with when the key id is unknown, so that both cases take the same time. */
  private static final String NO_DIGEST = "0".repeat(64);

  private KeyCheck() {}

  /** Returns the SHA-256 digest of the UTF-8 bytes of a key's secret, in hexadecimal. */
  public static String digestOf(String secret) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(secret.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
    }
  }

  /** Returns the team of a key, or why it is not accepted. */
  static Either<Refusal, String> teamOf(PresentedKey key, ControlState state) {
    KeyEntry entry = state.keys().get(key.keyId()).getOrNull();
    String expected = entry == null ? NO_DIGEST : entry.secretDigest();
    boolean isMatch =
        MessageDigest.isEqual(
            expected.getBytes(StandardCharsets.US_ASCII),
            key.secretDigest().getBytes(StandardCharsets.US_ASCII));
    if (entry == null || !isMatch) {
      return Either.left(
          Refusal.of(ResultCode.KEY_UNKNOWN, "no such key is granted; ask the operators for one"));
    }
    if (entry.isRevoked()) {
      return Either.left(
          Refusal.of(
              ResultCode.KEY_REVOKED,
              "key " + key.keyId() + " is revoked; ask the operators for a new one"));
    }
    return Either.right(entry.team());
  }
}
