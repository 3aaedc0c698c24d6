package org.laburnumarch.internal.entry;

import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.KeyEntry;

/** Checks at dispatch, because the control state may have changed since the request arrived. */
final class DispatchCheck {

  private DispatchCheck() {}

  /** Returns why a request may not run any more, or empty if it may. */
  static Optional<Refusal> recheck(CallerRequest request, ControlState state, long nowMs) {
    if (nowMs >= request.deadlineMs()) {
      return Optional.of(
          Refusal.retryable(
              ResultCode.DEADLINE_UNREACHABLE,
              "the deadline passed while the request was queued",
              1_000));
    }
    return ServiceRoute.find(request.service(), state)
        .flatMap(route -> route.admit(request.key(), state))
        .fold(
            Optional::of,
            weight ->
                weight.team().equals(request.team())
                    ? Optional.empty()
                    : Optional.of(
                        Refusal.of(
                            ResultCode.TEAM_NOT_ALLOWED, "the key now belongs to another team")));
  }

  /**
   * Asserts {@link ResultCode#INVARIANT_KEY}: a request runs only for the team whose key it
   * carries.
   */
  static void assertKey(CallerRequest request, ControlState state) {
    boolean isOpen =
        ServiceRoute.find(request.service(), state)
            .map(route -> route.queue().isOpenToAll())
            .getOrElse(false);
    if (isOpen) {
      return;
    }
    KeyEntry entry =
        request.key().flatMap(key -> state.keys().get(key.keyId()).toJavaOptional()).orElse(null);
    boolean isKeyValid =
        entry != null
            && !entry.isRevoked()
            && entry.team().equals(request.team())
            && entry.secretDigest().equals(request.key().get().secretDigest());
    if (!isKeyValid) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_KEY,
          "a request was about to run for team "
              + request.team()
              + " without a valid key of that team");
    }
  }

  /**
   * Asserts {@link ResultCode#INVARIANT_DATA_CENTRE}: nothing new runs in a data centre that is out
   * of service.
   */
  static void assertDataCentre(InstanceEntry minion, ControlState state) {
    if (state.dataCentres().get(minion.dataCentre()).exists(dataCentre -> dataCentre.isOut())) {
      throw new InvariantBreachException(
          ResultCode.INVARIANT_DATA_CENTRE,
          "a request was about to go to "
              + minion.instance()
              + " in a data centre that is out of service");
    }
  }
}
