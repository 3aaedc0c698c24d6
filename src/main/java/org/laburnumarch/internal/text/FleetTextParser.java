package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.Comparator;

/** Parses and checks the operators' configuration text and reports faults with line numbers. */
public final class FleetTextParser {

  private final FleetTextChecker checker = new FleetTextChecker();

  /**
   * Returns the parsed text, or all of its syntactic and semantic faults, sorted by line.
   *
   * @param text the text in INI form, at most {@link IniText#MAX_TEXT_BYTES} in UTF-8
   */
  public Either<Seq<TextFault>, ParsedText> parse(String text) {
    IniText ini = IniText.read(text);
    if (ini.isTooLarge()) {
      return Either.left(ini.faults());
    }
    Either<Seq<TextFault>, FleetText> checked = checker.checkFaults(ini.sections());
    Seq<TextFault> semanticFaults = checked.isLeft() ? checked.getLeft() : Vector.empty();
    Seq<TextFault> all = ini.faults().appendAll(ini.withLines(semanticFaults));
    if (!all.isEmpty()) {
      return Either.left(all.sorted(Comparator.comparingInt(TextFault::line)));
    }
    return checked.map(fleet -> new ParsedText(ini.sections(), fleet));
  }
}
