package org.laburnumarch.internal.operator;

import io.vavr.control.Either;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.laburnumarch.Refusal;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordResult;

/**
 * A change that an operator requests.
 *
 * @param recordType type of the record that carries it
 * @param newRecord creates the record from the operation id, or returns the reason why the change
 *     is not possible
 * @param isInEffect whether the state after an accepted record matches this change; distinguishes a
 *     repeated command from another command with the same operation id
 * @param responseFields additional fields of the response to an accepted record
 */
record OperatorChange(
    Class<? extends RecordBody> recordType,
    Function<String, Either<Refusal, RecordBody>> newRecord,
    BiPredicate<ControlState, RecordResult> isInEffect,
    Function<RecordResult, Map<String, ?>> responseFields) {

  static OperatorChange of(RecordBody body, BiPredicate<ControlState, RecordResult> isInEffect) {
    return of(body.getClass(), id -> Either.right(body), isInEffect);
  }

  static OperatorChange of(
      Class<? extends RecordBody> recordType,
      Function<String, Either<Refusal, RecordBody>> newRecord,
      BiPredicate<ControlState, RecordResult> isInEffect) {
    return new OperatorChange(recordType, newRecord, isInEffect, result -> Map.of());
  }

  OperatorChange withResponseFields(Function<RecordResult, Map<String, ?>> newResponseFields) {
    return new OperatorChange(recordType, newRecord, isInEffect, newResponseFields);
  }
}
