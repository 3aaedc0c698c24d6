package org.laburnumarch.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordBody.InstanceAdded;
import org.laburnumarch.internal.state.RecordBody.InstanceRemoved;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.spi.ListedInstance;

/**
 * Proposes to add instances that the platform lists and to remove those that it no longer lists.
 *
 * <p>The list lags and may be wrong for a while. A new instance must be in two consecutive lists,
 * and a missing one is removed only after {@link #REMOVE_AFTER_MS}, so that a faulty list does not
 * cause many moves.
 */
public final class InstanceProposals {

  /** How long an instance must be missing from the list before its removal is proposed. */
  public static final long REMOVE_AFTER_MS = 60_000;

  /** A proposal that is not in the state after this time is made again. */
  private static final long RETRY_MS = 5_000;

  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private final Map<String, Long> proposedAtMs = new HashMap<>();
  private Set<String> lastListedIds = Set.of();

  /** Returns the records to append after a complete list of instances. */
  public List<RecordBody> onList(
      List<ListedInstance> listed, ControlState state, String memberId, long nowMs) {
    List<RecordBody> due = new ArrayList<>();
    if (state.text().isPresent()) {
      addNew(listed, state, state.text().get(), memberId, nowMs, due);
    }
    removeMissing(listed, state, memberId, nowMs, due);
    lastListedIds = listed.stream().map(ListedInstance::id).collect(Collectors.toSet());
    return due;
  }

  private void addNew(
      List<ListedInstance> listed,
      ControlState state,
      FleetText text,
      String memberId,
      long nowMs,
      List<RecordBody> due) {
    for (ListedInstance instance : listed) {
      if (instance.kind() == ListedInstance.Kind.MINION
          && instance.state() == ListedInstance.State.LIVE
          && lastListedIds.contains(instance.id())
          && !state.instances().containsKey(instance.id())
          && tryPropose(instance.id(), state, memberId, nowMs)) {
        due.add(toRecord(instance, text));
      }
    }
  }

  private static InstanceAdded toRecord(ListedInstance instance, FleetText text) {
    boolean isPoolKnown = text.pools().containsKey(instance.pool());
    return new InstanceAdded(
        instance.id(),
        isPoolKnown ? instance.pool() : text.fleet().sparePool(),
        instance.dataCentre(),
        instance.rack(),
        instance.address());
  }

  private void removeMissing(
      List<ListedInstance> listed,
      ControlState state,
      String memberId,
      long nowMs,
      List<RecordBody> due) {
    Set<String> listedIds = listed.stream().map(ListedInstance::id).collect(Collectors.toSet());
    Set<String> missing = new HashSet<>();
    for (InstanceEntry instance : state.instances().values()) {
      if (!listedIds.contains(instance.instance())) {
        missing.add(instance.instance());
      }
    }
    missingSinceMs.keySet().retainAll(missing);
    for (String instance : missing) {
      long sinceMs = missingSinceMs.computeIfAbsent(instance, id -> nowMs);
      if (nowMs - sinceMs >= REMOVE_AFTER_MS && tryPropose(instance, state, memberId, nowMs)) {
        due.add(new InstanceRemoved(instance));
      }
    }
  }

  /**
   * Returns whether a change of an instance is to be proposed now; if so, records the proposal, so
   * that it is not repeated before {@link #RETRY_MS}.
   */
  private boolean tryPropose(String instance, ControlState state, String memberId, long nowMs) {
    if (!Proposers.isProposer(state, memberId, instance)) {
      return false;
    }
    Long lastMs = proposedAtMs.get(instance);
    if (lastMs != null && nowMs - lastMs < RETRY_MS) {
      return false;
    }
    proposedAtMs.put(instance, nowMs);
    return true;
  }
}
