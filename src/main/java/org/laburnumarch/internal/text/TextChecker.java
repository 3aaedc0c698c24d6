package org.laburnumarch.internal.text;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/**
 * Checks a configuration text. All daemons validate log records with it, so it must be a pure
 * function with the same result on each of them.
 */
@FunctionalInterface
public interface TextChecker {

  /** Returns the checked configuration, or all of its faults. */
  Either<Seq<Refusal>, FleetText> check(TextSections sections);
}
