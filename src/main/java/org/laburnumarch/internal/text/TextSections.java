package org.laburnumarch.internal.text;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A configuration text as a map from section name to key to value, without comments.
 *
 * <p>Two texts are equal if their sections are equal; comments and order make no difference, so a
 * change of only these creates no new version.
 */
public record TextSections(SortedMap<String, SortedMap<String, String>> sections) {

  /** Returns the text without any section. */
  public static TextSections empty() {
    return new TextSections(TreeMap.empty());
  }

  /** Returns this text with the sections of a patch replaced and removed. */
  public TextSections apply(SectionPatch patch) {
    SortedMap<String, SortedMap<String, String>> result = sections;
    for (String name : patch.removed()) {
      result = result.remove(name);
    }
    for (var replaced : patch.replaced().entrySet()) {
      result = result.put(replaced.getKey(), TreeMap.ofAll(replaced.getValue()));
    }
    return new TextSections(result);
  }

  /**
   * Returns the SHA-256 digest of the canonical form, in hexadecimal.
   *
   * <p>The canonical form prefixes each name and value with its length, so that different texts
   * have different canonical forms.
   */
  public String digest() {
    StringBuilder canonical = new StringBuilder();
    for (var section : sections) {
      appendPart(canonical, section._1);
      canonical.append(section._2.size()).append(';');
      for (var setting : section._2) {
        appendPart(canonical, setting._1);
        appendPart(canonical, setting._2);
      }
    }
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of()
          .formatHex(sha256.digest(canonical.toString().getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is required of every Java platform", e);
    }
  }

  private static void appendPart(StringBuilder canonical, String part) {
    canonical.append(part.length()).append(':').append(part);
  }
}
