package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Helpers for the validators of data centre records. */
final class DataCentres {

  private DataCentres() {}

  static Either<Refusal, ControlState> setOut(
      ControlState state, String dataCentre, boolean isOut, RecordContext context) {
    DataCentreEntry entry = state.dataCentres().getOrElse(dataCentre, null);
    if (entry == null) {
      return RecordValidator.refuse(
          ResultCode.DATA_CENTRE_UNKNOWN,
          "the text in force has no [data-centre %s]; it has %s"
              .formatted(dataCentre, state.dataCentres().keySet().mkString(", ")));
    }
    if (entry.isOut() == isOut) {
      return RecordValidator.refuse(
          ResultCode.DATA_CENTRE_STATE_UNCHANGED,
          "data centre %s is %s service already".formatted(dataCentre, isOut ? "out of" : "in"));
    }
    DataCentreEntry changed = new DataCentreEntry(dataCentre, isOut, context.offset());
    return Either.right(state.withDataCentres(state.dataCentres().put(dataCentre, changed)));
  }
}
