package org.laburnumarch.internal.text;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The kinds of sections in the operators' configuration text. */
enum SectionKind {
  FLEET("fleet", false),
  DATA_CENTRE("data-centre", true),
  RACK("rack", true),
  POOL("pool", true),
  SERVICE("service", true),
  QUEUE("queue", true),
  TEAM("team", true),
  MAINTENANCE("maintenance", false);

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  private final String keyword;
  private final boolean isNamed;

  SectionKind(String keyword, boolean isNamed) {
    this.keyword = keyword;
    this.isNamed = isNamed;
  }

  /** Returns the kind of a section; empty if the section matches no kind. */
  static Optional<SectionKind> of(String section) {
    String first = section.contains(" ") ? section.substring(0, section.indexOf(' ')) : section;
    return Arrays.stream(values())
        .filter(kind -> kind.keyword.equals(first))
        .filter(kind -> kind.isNamed == section.contains(" "))
        .findFirst();
  }

  /** Returns the header forms of all kinds, for messages. */
  static String headerForms() {
    return Arrays.stream(values()).map(SectionKind::headerForm).collect(Collectors.joining(", "));
  }

  static boolean isName(String name) {
    return NAME.matcher(name).matches();
  }

  /** Returns the section of this kind with the given name; kinds without names ignore it. */
  String sectionOf(String name) {
    return isNamed ? keyword + " " + name : keyword;
  }

  /** Returns the name in a section of this kind, or the keyword if the kind has no names. */
  String nameIn(String section) {
    return isNamed ? section.substring(keyword.length() + 1) : keyword;
  }

  /** Returns the keyword without hyphens, for messages. */
  String displayName() {
    return keyword.replace('-', ' ');
  }

  private String headerForm() {
    return isNamed ? "[" + keyword + " NAME]" : "[" + keyword + "]";
  }
}
