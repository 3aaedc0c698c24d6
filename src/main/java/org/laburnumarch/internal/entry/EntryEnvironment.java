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
 * What the daemon supplies to its entry; every supplier answers at once from memory.
 *
 * @param state the newest applied control state
 * @param gate authority and upper limits
 * @param instances the newest instance list; empty if none was ever fetched
 * @param demandReports the newest demand report of each member by member id, the daemon's own last
 *     sent one included, so that all daemons compute the same slot plan
 * @param memberId the daemon's own member id; empty before it has joined
 * @param seat the daemon's seat, or {@code MemberEntry.NO_SEAT}
 * @param clock all deadlines are instants of this clock
 * @param epochMs the wall clock, for the deadline that minions get
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
