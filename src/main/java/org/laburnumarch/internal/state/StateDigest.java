package org.laburnumarch.internal.state;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the SHA-256 digest of the canonical form of a state. */
public final class StateDigest {

  private StateDigest() {}

  /** Returns the digest of a state in hexadecimal; equal states have equal digests. */
  public static String of(ControlState state) {
    return ofImage(SnapshotCodec.imageBytes(state));
  }

  static String ofImage(byte[] imageBytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(imageBytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is required of every Java platform", e);
    }
  }
}
