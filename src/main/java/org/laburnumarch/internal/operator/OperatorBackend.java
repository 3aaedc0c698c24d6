package org.laburnumarch.internal.operator;

import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.Envelope;
import org.laburnumarch.internal.state.RecordResult;

/** Access of the operator endpoint to the state and the control log of its daemon. */
public interface OperatorBackend {

  /** Returns the state that this daemon has applied. */
  ControlState state();

  /**
   * Appends a record and completes when the change is in force or refused. After an accepted
   * change, {@link #state()} includes its effect.
   *
   * <p>If the outcome is not known within the daemon's timeout, the result has the refusal {@link
   * org.laburnumarch.ResultCode#APPEND_OUTCOME_UNKNOWN}, or {@link
   * org.laburnumarch.ResultCode#LOG_UNAVAILABLE} if nothing was sent. If the change is accepted but
   * not in force in time, it has {@link org.laburnumarch.ResultCode#NOT_IN_FORCE_YET}. A submission
   * with an operation id that has been validated before completes with the first result, or with
   * {@link org.laburnumarch.ResultCode#DUPLICATE_OPERATION} and the first result in {@link
   * #state()}.
   */
  CompletionStage<RecordResult> submit(Envelope envelope);

  /** Returns the log position of each member, as known to this daemon. */
  CompletionStage<FleetStatus> status();
}
