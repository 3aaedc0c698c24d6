package org.laburnumarch.internal.operator;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Identifies operators by the digests of their tokens. */
public final class OperatorTokens {

  private final Map<String, byte[]> digestByOperator = new TreeMap<>();

  /** Creates the table from hexadecimal SHA-256 digests by operator name. */
  public OperatorTokens(Map<String, String> hexDigestByOperator) {
    hexDigestByOperator.forEach(
        (name, digest) -> digestByOperator.put(name, HexFormat.of().parseHex(digest)));
  }

  /**
   * Returns the operator that a token belongs to; empty if the token is unknown.
   *
   * <p>All digests are compared, each in constant time, so that response times reveal neither how
   * much of a guessed token is right nor which operator's token it resembles.
   */
  public Optional<String> operatorOf(String token) {
    byte[] digest = HexFormat.of().parseHex(KeySecrets.digestOf(token));
    Optional<String> found = Optional.empty();
    for (Map.Entry<String, byte[]> entry : digestByOperator.entrySet()) {
      boolean isEqual = MessageDigest.isEqual(entry.getValue(), digest);
      found = isEqual ? Optional.of(entry.getKey()) : found;
    }
    return found;
  }
}
