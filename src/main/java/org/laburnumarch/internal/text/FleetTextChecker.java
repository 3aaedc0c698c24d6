package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/** Checks the sections of the operators' configuration text and reports all of their faults. */
public final class FleetTextChecker implements TextChecker {

  @Override
  public Either<Seq<Refusal>, FleetText> check(TextSections sections) {
    return checkFaults(sections).mapLeft(faults -> faults.map(TextFault::toRefusal));
  }

  /** Returns the checked configuration, or all of its faults without line numbers. */
  public Either<Seq<TextFault>, FleetText> checkFaults(TextSections sections) {
    TextFaults faults = new TextFaults();
    FleetText text = new FleetTextReader(sections, faults).read();
    if (faults.isEmpty()) {
      return Either.right(text);
    }
    return Either.left(faults.toVector());
  }
}
