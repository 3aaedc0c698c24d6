package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/** Returns a data centre to service. */
final class DataCentreReturnedValidator implements RecordValidator<RecordBody.DataCentreReturned> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.DataCentreReturned body, RecordContext context) {
    return DataCentres.setOut(state, body.dataCentre(), false, context);
  }
}
