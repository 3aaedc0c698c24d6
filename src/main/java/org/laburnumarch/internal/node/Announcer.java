package org.laburnumarch.internal.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.link.LinkClient;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.tinylog.Logger;

/**
 * Announces to all daemons that this one owns the fleet, so that daemons that cannot read the store
 * learn of it too, and finds out whether the earlier owner has stopped. Used on one thread only.
 */
final class Announcer implements AutoCloseable {

  private static final long RETRY_MS = 700;

  /** Attempts to reach a daemon; one that doesn't respond to any has probably ended. */
  private static final int MAX_ATTEMPTS = 20;

  private final StoreClient store;
  private final EventLoopThread loop;

  private final NodeSettings settings;
  private final OwnerTenure tenure;
  private final Optional<OwnerRecord> earlier;
  private final Runnable onEarlierOwnerStopped;
  private final Map<String, LinkClient> connections = new HashMap<>();
  private boolean isEarlierOwnerStopped;
  private boolean isClosed;

  Announcer(
      StoreClient store,
      EventLoopThread loop,
      NodeSettings settings,
      OwnerTenure tenure,
      Optional<OwnerRecord> earlier,
      Runnable onEarlierOwnerStopped) {
    this.store = store;
    this.loop = loop;

    this.settings = settings;
    this.tenure = tenure;
    this.earlier = earlier;
    this.onEarlierOwnerStopped = onEarlierOwnerStopped;
  }

  void start() {
    if (isClosed) {
      return;
    }
    store
        .readNewest(StoreClient.DAEMON_LOG, Optional.empty())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY_MS, this::start);
              } else {
                page.records().forEach(this::announceTo);
              }
            });
  }

  private void announceTo(StoreRecord daemon) {
    if (daemon.key().equals(settings.name()) || daemon.value().isEmpty()) {
      return;
    }
    try {
      announce(daemon.key(), DaemonRecord.decode(daemon.value().get()).address(), 0);
    } catch (IOException e) {
      Logger.warn("nodes: event=unreadable node={} cause={}", daemon.key(), e.getMessage());
    }
  }

  private void announce(String name, InetSocketAddress address, int attempts) {
    if (!isClosed && attempts < MAX_ATTEMPTS) {
      connections.put(
          name,
          new LinkClient(address, loop.group(), new AnnouncementAttempt(name, address, attempts)));
    }
  }

  private EarlierOwnerState checkEarlierOwner(String name, Heartbeat heartbeat) {
    EarlierOwnerState state = EarlierOwnerState.of(name, heartbeat, earlier);
    if (state == EarlierOwnerState.STOPPED && !isEarlierOwnerStopped) {
      isEarlierOwnerStopped = true;
      Logger.info(
          "owner: event=earlier-stopped term={} holder={}",
          earlier.get().term(),
          earlier.get().holder());
      onEarlierOwnerStopped.run();
    }
    return state;
  }

  /** Stops announcing. */
  @Override
  public void close() {
    isClosed = true;
    List.copyOf(connections.values()).forEach(LinkClient::close);
    connections.clear();
  }

  /** One attempt to announce the ownership to one daemon. */
  private final class AnnouncementAttempt implements LinkClient.Listener {
    private final String name;
    private final InetSocketAddress address;
    private final int attempts;
    private int heartbeats;
    private boolean isDone;

    AnnouncementAttempt(String name, InetSocketAddress address, int attempts) {
      this.name = name;
      this.address = address;
      this.attempts = attempts;
    }

    @Override
    public void onConnected() {
      loop.execute(
          () -> {
            LinkClient client = connections.get(name);
            if (client != null) {
              client.announce(tenure.newest().encode());
            }
          });
    }

    @Override
    public void onHeartbeat(Heartbeat heartbeat) {
      heartbeats++;
      EarlierOwnerState state = checkEarlierOwner(name, heartbeat);
      // The first is sent when the connection opens. The earlier owner also sends heartbeats at
      // intervals, so another one of its own does not mean that it has read the announcement.
      if (heartbeats >= 2 && state != EarlierOwnerState.STILL_OWNER && !isDone) {
        isDone = true;
        LinkClient client = connections.remove(name);
        if (client != null) {
          client.close();
        }
      }
    }

    @Override
    public void onOperatorRecord(OperatorRecord stored) {
      // The owner does not request records.
    }

    @Override
    public void onClosed(boolean isRefused) {
      if (!isDone && !isClosed) {
        loop.schedule(RETRY_MS, () -> announce(name, address, attempts + 1));
      }
    }
  }
}
