package org.laburnumarch.internal.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The difference between two configuration texts.
 *
 * @param replaced sections that are new or changed, with all of their settings, by name
 * @param removed names of the removed sections
 */
public record SectionPatch(Map<String, Map<String, String>> replaced, List<String> removed) {

  public SectionPatch {
    Map<String, Map<String, String>> copies = new TreeMap<>();
    replaced.forEach((name, settings) -> copies.put(name, Map.copyOf(settings)));
    replaced = Map.copyOf(copies);
    removed = List.copyOf(removed);
  }

  /** Returns the smallest patch that turns one text into another. */
  public static SectionPatch between(TextSections from, TextSections to) {
    Map<String, Map<String, String>> replaced = new TreeMap<>();
    for (var section : to.sections()) {
      if (!from.sections().get(section._1).contains(section._2)) {
        replaced.put(section._1, section._2.toJavaMap());
      }
    }
    List<String> removed = new ArrayList<>(from.sections().keySet().toJavaSet());
    removed.removeIf(name -> to.sections().containsKey(name));
    removed.sort(null);
    return new SectionPatch(replaced, removed);
  }

  /** Returns whether applying this patch changes nothing. */
  public boolean isEmpty() {
    return replaced.isEmpty() && removed.isEmpty();
  }
}
