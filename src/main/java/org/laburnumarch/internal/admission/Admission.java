package org.laburnumarch.internal.admission;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.laburnumarch.internal.admission.PoolBacklog.WaitingJob;
import org.laburnumarch.internal.admission.ReturnCalendar.Invitation;
import org.laburnumarch.internal.share.TeamWeights;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Refuses jobs that cannot be worth anything to their callers: even by an optimistic estimate, the
 * work ahead keeps them from being done before three times their objective. Where it is uncertain,
 * a job is accepted. Invites those that it refuses for a time at which room is expected.
 */
public final class Admission {

  /** Multiple of its objective after which a job is worth nothing. */
  private static final double WORTHLESS_AFTER_OBJECTIVES = 3;

  /** Factor on expected run times in the optimistic estimate; they are wrong by up to about 2. */
  private static final double OPTIMISTIC_FACTOR = 0.5;

  /** Longest time for which a caller is sent away; nothing is known of what comes later. */
  private static final long MAX_WAIT_MS = 60_000;

  /** Largest encoded length of the invitations; the record holds the shares, too. */
  private static final int MAX_RECORD_BYTES = 8_000;

  /** Largest encoded length of one invitation. */
  private static final int MAX_INVITATION_BYTES = 200;

  /**
   * A refusal.
   *
   * @param retryAfterMs time after which the caller should come back
   * @param doneInMs the optimistic estimate of when the job would be done
   * @param worthlessInMs the time after which it is worth nothing
   */
  public record Refusal(long retryAfterMs, long doneInMs, long worthlessInMs) {}

  private final Map<String, ReturnCalendar> calendars = new HashMap<>();

  /** Decides about a job; empty if it is accepted. */
  public Optional<Refusal> decide(Submission submission, long nowMs) {
    double worthlessInMs = WORTHLESS_AFTER_OBJECTIVES * submission.objectiveMs();
    CompletionEstimate optimistic = new CompletionEstimate(submission, OPTIMISTIC_FACTOR);
    double doneInMs = optimistic.doneInMs();
    if (doneInMs <= worthlessInMs || optimistic.aloneMs() > worthlessInMs) {
      calendar(submission.service()).release(submission.id());
      return Optional.empty();
    }
    CompletionEstimate expected = new CompletionEstimate(submission, 1);
    double roomInMs =
        Math.min(MAX_WAIT_MS, Math.max(0, expected.doneInMs() - submission.objectiveMs()));
    WaitingJob job = submission.job();
    Invitation invitation =
        calendar(submission.service())
            .invite(
                submission.id(),
                job.team(),
                job.work().msIn(submission.backlog().room()),
                nowMs + Math.round(roomInMs),
                team -> shareAmongActive(team, submission),
                nowMs);
    return Optional.of(
        new Refusal(
            invitation.invitedAtMs() - nowMs, Math.round(doneInMs), Math.round(worthlessInMs)));
  }

  private ReturnCalendar calendar(String service) {
    return calendars.computeIfAbsent(service, name -> new ReturnCalendar());
  }

  private static double shareAmongActive(String team, Submission submission) {
    TeamWeights weights = submission.weights();
    Set<String> active =
        submission.backlog().waiting().stream().map(WaitingJob::team).collect(Collectors.toSet());
    active.add(team);
    double sum = active.stream().mapToDouble(weights::shareFraction).sum();
    return sum > 0 ? weights.shareFraction(team) / sum : 1;
  }

  /** Returns the next invitations in encoded form, as many as fit. */
  public byte[] record(long nowMs, long epochMs) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      for (Map.Entry<String, ReturnCalendar> pool : calendars.entrySet()) {
        for (Map.Entry<String, Invitation> caller : pool.getValue().next()) {
          Invitation invitation = caller.getValue();
          if (out.getTotalWrittenBytes() > MAX_RECORD_BYTES - MAX_INVITATION_BYTES) {
            return out.toByteArray();
          }
          out.packArrayHeader(6)
              .packString(pool.getKey())
              .packString(caller.getKey())
              .packString(invitation.team())
              .packLong(invitation.firstRefusedAtMs() - nowMs + epochMs)
              .packLong(invitation.invitedAtMs() - nowMs + epochMs)
              .packFloat((float) invitation.poolMs());
        }
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Continues with the invitations of an earlier owner that are still to come.
   *
   * @throws IOException if they cannot be read; those before the fault are restored
   */
  public void restore(byte[] encoded, long nowMs, long epochMs) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(encoded)) {
      while (in.hasNext()) {
        in.unpackArrayHeader();
        ReturnCalendar calendar = calendar(in.unpackString());
        String id = in.unpackString();
        Invitation invitation =
            new Invitation(
                in.unpackString(),
                in.unpackLong() - epochMs + nowMs,
                in.unpackLong() - epochMs + nowMs,
                in.unpackFloat());
        if (invitation.invitedAtMs() > nowMs) {
          calendar.restore(id, invitation);
        }
      }
    } catch (MessagePackException e) {
      throw new IOException("unreadable invitations", e);
    }
  }
}
