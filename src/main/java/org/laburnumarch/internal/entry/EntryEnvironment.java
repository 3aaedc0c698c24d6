package org.laburnumarch.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.time.MonotonicClock;
import org.laburnumarch.spi.ListedInstance;

/**
 * Inputs that the daemon supplies to its entry; every supplier returns at once, without I/O.
 *
 * @param state the newest applied control state
 * @param gate the daemon's authority to dispatch and the units of the teams' upper limits
 * @param instances the newest instance list; empty if none was ever fetched
 * @param demandReports the newest demand report of each member by member id, including the one that
 *     the daemon itself sent last, so that all daemons compute the same slot plan
 * @param memberId the daemon's own member id; empty before it has joined
 * @param seat the daemon's seat, or {@code MemberEntry.NO_SEAT}
 * @param clock clock of all deadlines
 * @param epochMs wall clock for the deadline that is sent to minions
 */
public record EntryEnvironment(
    Supplier<ControlState> state,
    DispatchGate gate,
    Supplier<List<ListedInstance>> instances,
    Supplier<Map<String, List<PoolDemand>>> demandReports,
    Supplier<String> memberId,
    IntSupplier seat,
    MonotonicClock clock,
    LongSupplier epochMs) {}
