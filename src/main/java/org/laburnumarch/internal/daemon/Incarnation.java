package org.laburnumarch.internal.daemon;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.internal.membership.MemberDecisions;
import org.laburnumarch.internal.membership.MemberIdentity;
import org.laburnumarch.internal.membership.MembershipEffect;
import org.laburnumarch.internal.peer.PeerListener;
import org.laburnumarch.internal.peer.PeerMessage;
import org.laburnumarch.internal.peer.PeerTransport;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.MemberEntry;
import org.laburnumarch.spi.LogRecord;
import org.tinylog.Logger;

/**
 * One incarnation of this daemon as a member of the fleet: its decisions and its connections to
 * peers.
 *
 * <p>Decisions run on the core loop; the gate methods of {@link #decisions()} may be called by any
 * thread.
 */
final class Incarnation implements AutoCloseable {
  private static final int MAX_RECORDS_BYTES = 512 * 1024;

  private final CoreLoop core;
  private final ControlLog log;
  private final Alarms alarms;
  private final MemberDecisions decisions;
  private final PeerTransport transport;
  private final Consumer<MembershipEffect> onLifecycleEffect;
  private final Map<String, ReceivedReport> reports = new ConcurrentHashMap<>();
  private Map<String, String> knownPeerAddresses = Map.of();
  private volatile boolean isDeactivated;

  /**
   * Starts an incarnation.
   *
   * @param listen opens the transport with the given listener
   * @param onLifecycleEffect receives {@link MembershipEffect.Rejoin} and {@link
   *     MembershipEffect.ReadyToExit}
   */
  Incarnation(
      CoreLoop core,
      ControlLog log,
      Alarms alarms,
      MemberIdentity identity,
      UniformRandomProvider random,
      Function<PeerListener, PeerTransport> listen,
      Consumer<MembershipEffect> onLifecycleEffect) {
    this.core = core;
    this.log = log;
    this.alarms = alarms;
    this.decisions = new MemberDecisions(identity, random);
    this.onLifecycleEffect = onLifecycleEffect;
    this.transport = listen.apply(new Listener());
  }

  /** Returns the decisions, for the gate. */
  MemberDecisions decisions() {
    return decisions;
  }

  /** Returns the member id of this incarnation. */
  String memberId() {
    return decisions.identity().memberId();
  }

  /** Returns the newest report of each peer; may be called by any thread. */
  Map<String, ReceivedReport> reports() {
    return reports;
  }

  /** Pings the members that have not yet reported an offset as applied; on the core loop. */
  void pingMembersBehind(long offset) {
    if (!isDeactivated) {
      run(decisions.pingMembersBehind(offset, core.nowMs()));
    }
  }

  /** Applies a newer state; on the core loop. */
  void onState(ControlState state) {
    if (isDeactivated) {
      return;
    }
    Map<String, String> members = peerAddresses(state);
    if (!members.equals(knownPeerAddresses)) {
      knownPeerAddresses = members;
      transport.setMembers(members);
      reports.keySet().retainAll(members.keySet());
    }
    run(decisions.onStateChanged(state, core.nowMs()));
  }

  private Map<String, String> peerAddresses(ControlState state) {
    return state
        .members()
        .values()
        .filter(MemberEntry::isActive)
        .filter(member -> !member.memberId().equals(memberId()))
        .toJavaMap(member -> io.vavr.Tuple.of(member.memberId(), member.peerAddress()));
  }

  /** Runs the periodic decisions; on the core loop. */
  void tick() {
    if (!isDeactivated) {
      run(decisions.onTick(log.state(), core.nowMs()));
    }
  }

  /** Asks peers for allowance after a unit was refused; on the core loop. */
  void onShortage(String team) {
    if (!isDeactivated) {
      run(decisions.onShortage(team, core.nowMs()));
    }
  }

  private void run(List<MembershipEffect> effects) {
    effects.forEach(this::run);
  }

  private void onMessage(String fromMemberId, PeerMessage message) {
    if (isDeactivated) {
      return;
    }
    if (message instanceof PeerMessage.Ping ping) {
      storeReport(fromMemberId, ping.report());
    } else if (message instanceof PeerMessage.Pong pong) {
      storeReport(fromMemberId, pong.report());
    }
    onLogMessage(fromMemberId, message);
    run(decisions.onPeerMessage(fromMemberId, message, log.state(), core.nowMs()));
  }

  private void storeReport(String memberId, PeerMessage.Report report) {
    ReceivedReport received = new ReceivedReport(report, core.nowMs());
    reports.merge(memberId, received, ReceivedReport::updatedBy);
  }

  /**
   * Requests the state from a peer if there is none yet, so that a daemon can start while the log
   * is unavailable.
   */
  private void onConnected(String memberId) {
    if (!isDeactivated && log.state().nextOffset() == 0) {
      send(memberId, new PeerMessage.SnapshotRequest());
    }
  }

  private void onLogMessage(String fromMemberId, PeerMessage message) {
    if (message instanceof PeerMessage.RecordsRequest request) {
      sendRecords(fromMemberId, request.fromOffset());
    } else if (message instanceof PeerMessage.SnapshotRequest) {
      sendState(fromMemberId);
    } else if (message instanceof PeerMessage.Records records) {
      log.onPeerRecords(records.records().stream().map(Incarnation::toLogRecord).toList());
    } else if (message instanceof PeerMessage.Snapshot snapshot) {
      log.onPeerSnapshot(snapshot.nextOffset(), snapshot.state());
    }
  }

  private void sendRecords(String toMemberId, long fromOffset) {
    List<LogRecord> records = log.recordsFrom(fromOffset, MAX_RECORDS_BYTES);
    if (records.isEmpty() && fromOffset < log.state().nextOffset()) {
      sendState(toMemberId);
    } else if (!records.isEmpty()) {
      send(
          toMemberId,
          new PeerMessage.Records(records.stream().map(Incarnation::toRecordData).toList()));
    }
  }

  private void sendState(String toMemberId) {
    long nextOffset = log.state().nextOffset();
    var unused =
        log.encodedState()
            .thenAccept(image -> send(toMemberId, new PeerMessage.Snapshot(nextOffset, image)));
  }

  private void send(String memberId, PeerMessage message) {
    if (!transport.send(memberId, message)) {
      Logger.debug("peer: A message to {} could not be queued for sending.", memberId);
    }
  }

  private void run(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Send send) {
      send(send.memberId(), send.message());
    } else if (effect instanceof MembershipEffect.Append append) {
      log.append(memberId(), append.body());
    } else if (effect instanceof MembershipEffect.InvariantBreached breached) {
      alarms.raise(breached.refusal());
    } else {
      onLifecycleEffect.accept(effect);
    }
  }

  private static LogRecord toLogRecord(PeerMessage.RecordData data) {
    return new LogRecord(data.offset(), data.appendedAtEpochMs(), data.data());
  }

  private static PeerMessage.RecordData toRecordData(LogRecord logRecord) {
    return new PeerMessage.RecordData(
        logRecord.offset(), logRecord.appendedAtEpochMs(), logRecord.data());
  }

  /** Ignores all further calls and messages. The transport stays open until {@link #close}. */
  void deactivate() {
    isDeactivated = true;
  }

  /** Closes the transport, which may block for some seconds. */
  @Override
  public void close() {
    deactivate();
    transport.close();
  }

  /** Forwards the events of the transport's thread to the core loop. */
  private final class Listener implements PeerListener {

    @Override
    public void onMessage(String fromMemberId, PeerMessage message) {
      core.execute(() -> Incarnation.this.onMessage(fromMemberId, message));
    }

    @Override
    public void onDisconnected(String memberId) {
      core.execute(() -> decisions.onDisconnected(memberId));
    }

    @Override
    public void onConnected(String memberId) {
      core.execute(() -> Incarnation.this.onConnected(memberId));
    }
  }
}
