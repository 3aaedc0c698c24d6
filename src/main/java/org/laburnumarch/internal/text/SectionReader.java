package org.laburnumarch.internal.text;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.laburnumarch.ResultCode;

/**
 * Reads typed values from one section and collects their faults.
 *
 * <p>A faulty value is replaced by its fallback, so that the remaining text can still be checked.
 */
public final class SectionReader {

  private static final Pattern COUNT = Pattern.compile("\\d{1,9}");
  private static final Pattern FRACTION = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,9})?)\\s*(%?)");

  private final String section;
  private final SortedMap<String, String> values;
  private final TextFaults faults;
  private final Set<String> knownKeys = new java.util.TreeSet<>();

  /** Creates a reader that adds the faults it finds to {@code faults}. */
  public SectionReader(String section, SortedMap<String, String> values, TextFaults faults) {
    this.section = section;
    this.values = values;
    this.faults = faults;
  }

  /** Returns a value as written; empty if the key is missing or has no value. */
  public Optional<String> optional(String key) {
    knownKeys.add(key);
    return values.get(key).filter(value -> !value.isEmpty()).toJavaOptional();
  }

  /** Returns a value as written; a missing value is a fault and returns an empty text. */
  public String required(String key, String example) {
    Optional<String> value = optional(key);
    if (value.isEmpty()) {
      fault(
          key,
          ResultCode.MISSING_SETTING,
          "the value is missing",
          "add a line such as " + key + " = " + example);
    }
    return value.orElse("");
  }

  /**
   * Returns a value that has the form of a name, such as that of another section; an empty text if
   * it is missing or malformed.
   */
  public String name(String key, String example) {
    String name = required(key, example);
    return name.isEmpty() ? name : checkedName(key, name);
  }

  /** Returns a list of names, separated by commas; empty if the key is missing. */
  public SortedSet<String> names(String key) {
    SortedSet<String> names = TreeSet.empty();
    for (String part : optional(key).orElse("").split(",", -1)) {
      String name = part.trim();
      if (names.contains(name)) {
        fault(key, ResultCode.DUPLICATE_NAME, name + " is listed twice", "list it once");
      }
      String checked = name.isEmpty() ? "" : checkedName(key, name);
      names = checked.isEmpty() ? names : names.add(checked);
    }
    return names;
  }

  /**
   * Returns a whole number from {@code min} to {@code max}; a missing value is a fault.
   *
   * @param fallback returned for a faulty number, chosen so that it causes no further faults
   */
  public int count(String key, int fallback, int min, int max) {
    return parseCount(key, required(key, Integer.toString(min)), fallback, min, max);
  }

  /** Returns a whole number from {@code min} to {@code max}; the fallback if it is missing. */
  public int countOr(String key, int fallback, int min, int max) {
    return parseCount(key, optional(key).orElse(""), fallback, min, max);
  }

  /**
   * Returns true for yes and false for no; the fallback if the key is missing, and false if the
   * value is faulty.
   */
  public boolean flagOr(String key, boolean fallback) {
    String value = optional(key).orElse(fallback ? "yes" : "no");
    if (!value.equals("yes") && !value.equals("no")) {
      fault(
          key,
          ResultCode.VALUE_OUT_OF_RANGE,
          "\"" + value + "\" is neither yes nor no",
          "write yes or no");
    }
    return value.equals("yes");
  }

  /**
   * Returns a fraction above 0 and up to 1, written as a decimal (0.25) or a percentage (25%); 0 if
   * it is missing or faulty.
   */
  public double fraction(String key) {
    String value = required(key, "25%");
    Matcher matcher = FRACTION.matcher(value);
    double number = matcher.matches() ? Double.parseDouble(matcher.group(1)) : -1;
    double fraction = matcher.matches() && !matcher.group(2).isEmpty() ? number / 100 : number;
    if (!value.isEmpty() && !(fraction > 0 && fraction <= 1)) {
      fault(
          key,
          ResultCode.VALUE_OUT_OF_RANGE,
          "\"" + value + "\" is not a part of one, above 0 and up to 1",
          "write a fraction such as 0.25 or a percentage such as 25%");
      return 0;
    }
    return Math.max(0, fraction);
  }

  /** Adds a fault of a key of this section. */
  public void fault(String key, ResultCode code, String problem, String remedy) {
    faults.add(section, key, code, problem, remedy);
  }

  /** Adds a fault for each key of the section that has not been read. */
  public void refuseUnknownKeys() {
    for (String key : values.keySet().removeAll(knownKeys)) {
      fault(
          key,
          ResultCode.UNKNOWN_SETTING,
          "no such key is known here",
          "use one of " + String.join(", ", knownKeys) + ", or delete the line");
    }
  }

  private String checkedName(String key, String name) {
    if (SectionKind.isName(name)) {
      return name;
    }
    fault(
        key,
        ResultCode.TEXT_MALFORMED,
        "\"" + name + "\" is not a name",
        "use up to 63 letters, digits, dots, hyphens and underscores");
    return "";
  }

  private int parseCount(String key, String value, int fallback, int min, int max) {
    if (value.isEmpty()) {
      return fallback;
    }
    int number = COUNT.matcher(value).matches() ? Integer.parseInt(value) : -1;
    if (number >= min && number <= max) {
      return number;
    }
    String problem = "\"" + value + "\" is not a whole number from " + min + " to " + max;
    String remedy = "write digits only, without a unit or separators";
    fault(key, ResultCode.VALUE_OUT_OF_RANGE, problem, remedy);
    return fallback;
  }
}
