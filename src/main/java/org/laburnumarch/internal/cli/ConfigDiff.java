package org.laburnumarch.internal.cli;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.io.PrintStream;
import java.util.SortedSet;
import java.util.TreeSet;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;

/** The difference between the configuration in force and a file, by sections and keys. */
final class ConfigDiff {

  private final TextSections from;
  private final TextSections to;
  private final SectionPatch patch;

  ConfigDiff(TextSections from, TextSections to) {
    this.from = from;
    this.to = to;
    this.patch = SectionPatch.between(from, to);
  }

  boolean isEmpty() {
    return patch.replaced().isEmpty() && patch.removed().isEmpty();
  }

  /** Returns the names of the sections that the file does not contain any more. */
  SortedSet<String> removed() {
    return new TreeSet<>(patch.removed());
  }

  /** Prints each changed section with its removed (-) and added (+) lines. */
  void print(PrintStream out) {
    TreeSet<String> changed = new TreeSet<>(patch.replaced().keySet());
    changed.addAll(patch.removed());
    for (String section : changed) {
      out.println("[" + section + "]");
      print(out, valuesOf(from, section), valuesOf(to, section));
    }
  }

  private static SortedMap<String, String> valuesOf(TextSections text, String section) {
    return text.sections().getOrElse(section, TreeMap.empty());
  }

  private static void print(
      PrintStream out, SortedMap<String, String> before, SortedMap<String, String> after) {
    for (String key : before.keySet().addAll(after.keySet())) {
      if (!before.get(key).equals(after.get(key))) {
        before.get(key).forEach(value -> out.println("- " + key + " = " + value));
        after.get(key).forEach(value -> out.println("+ " + key + " = " + value));
      }
    }
  }
}
