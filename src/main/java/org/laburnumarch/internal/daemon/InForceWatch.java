package org.laburnumarch.internal.daemon;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;

/**
 * Tracks when changes are in force, that is, when a strict majority of the counting members has
 * applied them.
 *
 * <p>From then on a daemon that is cut off cannot find a majority that confirms its older state, so
 * it refuses work within the freshness limit. On the core loop.
 */
final class InForceWatch {

  private record PendingChange(long offset, long deadlineMs, CompletableFuture<Boolean> result) {}

  private final List<PendingChange> pending = new ArrayList<>();

  /** Completes with true once the record at an offset is in force, with false at the deadline. */
  CompletionStage<Boolean> await(long offset, long deadlineMs) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    pending.add(new PendingChange(offset, deadlineMs, result));
    return result;
  }

  /** Returns the highest offset of the pending changes; empty if there is none. */
  OptionalLong awaitedOffset() {
    return pending.stream().mapToLong(PendingChange::offset).max();
  }

  /** Completes the pending changes that are in force or whose deadline has passed. */
  void tick(ControlState state, String self, Map<String, ReceivedReport> reports, long nowMs) {
    Iterator<PendingChange> iterator = pending.iterator();
    while (iterator.hasNext()) {
      PendingChange change = iterator.next();
      boolean isInForce = isAppliedByMajority(change.offset(), state, self, reports);
      if (isInForce || nowMs >= change.deadlineMs()) {
        iterator.remove();
        change.result().complete(isInForce);
      }
    }
  }

  static boolean isAppliedByMajority(
      long offset, ControlState state, String self, Map<String, ReceivedReport> reports) {
    var counting = state.members().values().filter(MemberEntry::isCounting);
    int applied =
        counting.count(
            member ->
                member.acknowledgedOffset() > offset
                    || (member.memberId().equals(self) && state.nextOffset() > offset)
                    || isReported(reports.get(member.memberId()), offset));
    return applied * 2 > counting.size();
  }

  private static boolean isReported(ReceivedReport received, long offset) {
    return received != null && received.report().nextOffset() > offset;
  }
}
