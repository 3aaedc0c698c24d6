package org.laburnumarch.internal.state;

import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * The result of a record: accepted, or refused for a reason.
 *
 * @param refusal why the record was refused; empty if it was accepted
 * @param textVersion version of the configuration text after the record
 */
public record RecordResult(
    long offset, String operationId, Optional<Refusal> refusal, long textVersion) {

  /** Returns whether the record took effect. */
  public boolean isAccepted() {
    return refusal.isEmpty();
  }

  /** Returns {@link ResultCode#OK} or the code of the refusal. */
  public ResultCode code() {
    return refusal.map(Refusal::code).orElse(ResultCode.OK);
  }
}
