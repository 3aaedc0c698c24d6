package org.laburnumarch.internal.peer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.tinylog.Logger;

/** The connections of a daemon by member. Changed on the event loop only. */
final class PeerTable implements PeerConnection.Listener {

  private final PeerEnvironment environment;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final PeerLink.Connector connector;
  private final PeerListener listener;
  private final Map<String, PeerLink> memberLinks = new HashMap<>();
  private final Map<String, PeerLink> seedLinks = new HashMap<>();
  private final Map<String, List<PeerConnection>> openConnections = new ConcurrentHashMap<>();
  private final Map<String, PeerConnection> acceptedConnections = new HashMap<>();
  private int unauthenticatedCount;
  private boolean closed;

  /** Creates an empty table. */
  PeerTable(
      PeerEnvironment environment,
      EventLoop loop,
      UniformRandomProvider random,
      PeerLink.Connector connector,
      PeerListener listener) {
    this.environment = environment;
    this.loop = loop;
    this.random = random;
    this.connector = connector;
    this.listener = listener;
  }

  /** Accepts an incoming connection; closes it if too many others are not yet authenticated. */
  void accept(SocketChannel channel) {
    if (closed || unauthenticatedCount >= environment.limits().maxUnauthenticatedCount()) {
      environment.metrics().incrementRefusedHandshakes();
      ChannelFuture unused = channel.close();
      return;
    }
    unauthenticatedCount++;
    channel
        .pipeline()
        .addLast(
            environment.newConnection(
                new AcceptingHandshake(environment.self(), environment.secret()),
                environment.newQueue(),
                new AcceptedListener()));
  }

  /** Counts an accepted connection as unauthenticated until it is authenticated or closed. */
  private final class AcceptedListener implements PeerConnection.Listener {

    @Override
    public void onReady(PeerConnection connection, PeerIdentity peer) {
      unauthenticatedCount--;
      PeerConnection older = acceptedConnections.put(peer.memberId(), connection);
      PeerTable.this.onReady(connection, peer);
      if (older != null) {
        older.close();
      }
    }

    @Override
    public void onMessage(PeerIdentity peer, PeerMessage message) {
      PeerTable.this.onMessage(peer, message);
    }

    @Override
    public void onClosed(PeerConnection connection, Optional<PeerIdentity> peer) {
      if (peer.isEmpty()) {
        unauthenticatedCount--;
        return;
      }
      acceptedConnections.remove(peer.get().memberId(), connection);
      PeerTable.this.onClosed(connection, peer);
    }
  }

  @Override
  public void onReady(PeerConnection connection, PeerIdentity peer) {
    List<PeerConnection> connections =
        openConnections.computeIfAbsent(peer.memberId(), key -> new ArrayList<>());
    connections.add(connection);
    if (connections.size() == 1) {
      Logger.info("peer: connected to {} on {}", peer.memberId(), peer.instance());
      notifyListener(() -> listener.onConnected(peer.memberId()));
    }
  }

  @Override
  public void onMessage(PeerIdentity peer, PeerMessage message) {
    notifyListener(() -> listener.onMessage(peer.memberId(), message));
  }

  @Override
  public void onClosed(PeerConnection connection, Optional<PeerIdentity> peer) {
    peer.map(PeerIdentity::memberId).ifPresent(memberId -> removeConnection(connection, memberId));
  }

  private void removeConnection(PeerConnection connection, String memberId) {
    List<PeerConnection> connections = openConnections.getOrDefault(memberId, new ArrayList<>());
    if (connections.remove(connection) && connections.isEmpty()) {
      openConnections.remove(memberId);
      Logger.info("peer: disconnected from {}", memberId);
      notifyListener(() -> listener.onDisconnected(memberId));
    }
  }

  /** Catches exceptions of the listener, which must not close the connection. */
  private static void notifyListener(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException e) {
      Logger.error(e, "peer: the listener failed to process a message or connection event");
    }
  }

  /** Opens and closes links so that they match the members. */
  void setMembers(Map<String, String> addresses) {
    Map<String, String> others = new HashMap<>(addresses);
    others.remove(environment.self().memberId());
    memberLinks
        .entrySet()
        .removeIf(link -> closeUnlessAddressIs(link.getValue(), others.get(link.getKey())));
    others.forEach(
        (memberId, address) -> openIfAbsent(memberLinks, memberId, address, Optional.of(memberId)));
  }

  /** Opens and closes links so that they match the seeds. */
  void setSeeds(Set<String> addresses) {
    seedLinks
        .entrySet()
        .removeIf(
            link ->
                closeUnlessAddressIs(
                    link.getValue(), addresses.contains(link.getKey()) ? link.getKey() : null));
    addresses.forEach(address -> openIfAbsent(seedLinks, address, address, Optional.empty()));
  }

  private static boolean closeUnlessAddressIs(PeerLink link, String address) {
    if (address != null && PeerAddress.parse(address).filter(link.address()::equals).isPresent()) {
      return false;
    }
    link.close();
    return true;
  }

  private void openIfAbsent(
      Map<String, PeerLink> links, String key, String address, Optional<String> memberId) {
    Optional<InetSocketAddress> parsed = PeerAddress.parse(address);
    if (parsed.isEmpty()) {
      Logger.warn("peer: \"{}\" is not an IP address with a port and is ignored", address);
    } else if (!links.containsKey(key)) {
      PeerLink link =
          new PeerLink(parsed.get(), memberId, environment, loop, random, connector, this);
      links.put(key, link);
      link.connect();
    }
  }

  /**
   * Sends on the link to the member if it is ready, otherwise on another open connection to it. If
   * there is none, the frame waits on the link, or is dropped if there is no link.
   */
  void send(String memberId, byte[] frame) {
    PeerLink link = memberLinks.get(memberId);
    List<PeerConnection> connections = openConnections.get(memberId);
    if (link != null && (link.isReady() || connections == null)) {
      link.offer(frame);
    } else if (connections != null) {
      connections.get(0).offer(frame);
    } else {
      environment.metrics().addDroppedMessages(1);
    }
  }

  /** Returns the members with an authenticated connection. */
  Set<String> connectedMembers() {
    return Set.copyOf(openConnections.keySet());
  }

  /** Closes all connections. */
  void close() {
    closed = true;
    memberLinks.values().forEach(PeerLink::close);
    seedLinks.values().forEach(PeerLink::close);
    List.copyOf(openConnections.values())
        .forEach(list -> List.copyOf(list).forEach(PeerConnection::close));
  }
}
