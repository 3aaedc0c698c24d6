package org.laburnumarch.internal.entry;

import io.vavr.control.Either;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.queue.TeamWeight;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.QueueSpec;
import org.laburnumarch.internal.text.ServiceSpec;
import org.laburnumarch.internal.text.TeamSpec;

/** Service and queue of a request according to the current configuration text. */
record ServiceRoute(FleetText text, ServiceSpec service, QueueSpec queue) {

  static Either<Refusal, ServiceRoute> find(String name, ControlState state) {
    FleetText text = state.text().orElse(null);
    if (text == null) {
      return Either.left(
          Refusal.retryable(ResultCode.NOT_READY, "no configuration is in force yet", 1_000));
    }
    ServiceSpec service = text.services().get(name).getOrNull();
    QueueSpec queue = service == null ? null : text.queues().get(service.queue()).getOrNull();
    if (queue == null) {
      return Either.left(
          Refusal.of(
              ResultCode.SERVICE_UNKNOWN,
              "there is no service " + name + "; the first part of the path names the service"));
    }
    return Either.right(new ServiceRoute(text, service, queue));
  }

  /** Returns the team that a request with this key runs for, or why the request is refused. */
  Either<Refusal, TeamWeight> admit(Optional<PresentedKey> key, ControlState state) {
    if (queue.isOpenToAll()) {
      return Either.right(weightOf(TeamWeight.OPEN));
    }
    if (key.isEmpty()) {
      return Either.left(
          Refusal.of(
              ResultCode.KEY_MISSING,
              "send the team's key: Authorization: Bearer lab_<keyId>_<secret>"));
    }
    return KeyCheck.teamOf(key.get(), state).flatMap(this::weightOfConfigured);
  }

  private Either<Refusal, TeamWeight> weightOfConfigured(String team) {
    return text.teams().containsKey(team)
        ? Either.right(weightOf(team))
        : Either.left(
            Refusal.of(
                ResultCode.TEAM_NOT_ALLOWED,
                "team " + team + " of this key is not in the configuration"));
  }

  private TeamWeight weightOf(String team) {
    TeamSpec spec = text.teams().get(team).getOrNull();
    return spec == null
        ? TeamWeight.ofBackgroundTeam(team)
        : new TeamWeight(team, spec.shareFraction(), spec.isUrgent());
  }
}
