package org.laburnumarch.internal.state;

import io.vavr.control.Either;
import org.laburnumarch.Refusal;

/**
 * Takes a data centre out of service; operators decide this, so no availability budget prevents it.
 */
final class DataCentreTakenOutValidator implements RecordValidator<RecordBody.DataCentreTakenOut> {

  @Override
  public Either<Refusal, ControlState> validate(
      ControlState state, RecordBody.DataCentreTakenOut body, RecordContext context) {
    return DataCentres.setOut(state, body.dataCentre(), true, context);
  }
}
