package org.laburnumarch.internal.node;

import io.servicetalk.http.api.HttpServerContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.ClaimCause;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.link.JobReply;
import org.laburnumarch.internal.link.JobReply.Code;
import org.laburnumarch.internal.link.LinkClient;
import org.laburnumarch.internal.link.LinkMessage.Call;
import org.laburnumarch.internal.link.LinkMessage.HandoverMessage;
import org.laburnumarch.internal.link.LinkMessage.Heartbeat;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.link.LinkServer;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.platform.CallerService;
import org.laburnumarch.internal.platform.HttpListeners;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/** A daemon: serves callers, and owns the fleet while it holds the ownership. */
public final class Node implements AutoCloseable {

  /** Time between two heartbeats to other daemons. */
  private static final long HEARTBEAT_EVERY_MS = 250;

  /** Time without a heartbeat after which a link counts as silent and is connected anew. */
  private static final long LINK_SILENCE_MS = 1_000;

  /**
   * Age of the owner's renewal from which this daemon is not ready, so that callers go elsewhere.
   */
  private static final long MAX_READY_RENEWAL_AGE_MS = 3_000;

  /** Time for which open connections are still served after a shutdown released the ownership. */
  private static final long LINGER_MS = 3_000;

  private final NodeSettings settings;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock = new SuspendAwareClock();
  private final Meters meters = new Meters();
  private final StoreClient store;
  private final OperatorWatch operators;
  private final DaemonDirectory daemons;
  private final Election election;
  private final HandoverCandidate candidate;
  private final HandoverOffers offers;
  private final JobRouter router;
  private final LinkServer linkServer;
  private final HttpServerContext callers;
  private final HttpServerContext readiness;
  private final HttpServerContext metrics;
  private Optional<Owner> owner = Optional.empty();
  private Optional<LinkClient> link = Optional.empty();
  private final String holder;
  private Optional<Announcer> announcer = Optional.empty();
  private long ownerRenewalAgeMs;
  private long linkHeardAtMs;
  private long recordsRequestedAtMs;
  private long heartbeatDueAtMs;
  private boolean isStopping;
  private boolean isClosed;

  /**
   * Starts a daemon.
   *
   * @param droppedLogLines returns the number of log lines dropped so far
   * @throws Exception if an address cannot be bound
   */
  public Node(NodeSettings settings, LongSupplier droppedLogLines) throws Exception {
    this.settings = settings;
    this.loop = new EventLoopThread();
    this.store = new StoreClient(settings.storeAddress(), loop);
    this.operators = new OperatorWatch(store, loop, clock);
    this.router = new JobRouter(loop, clock);
    this.daemons = new DaemonDirectory(store, loop, settings);
    this.holder = settings.name() + '/' + clock.epochMs();
    this.election =
        new Election(
            store,
            loop,
            clock,
            holder,
            settings.ip(),
            settings.linkPort(),
            daemons::claimDelayMs,
            this::isResponsive,
            new ElectionListener());
    InstanceSize size = new InstanceSize(settings.cpuShare(), settings.linkMbps());
    this.candidate = new HandoverCandidate(store, clock, daemons, size, holder, election);
    this.offers = new HandoverOffers(loop, clock, size, election, meters, new HandoverReleaser());
    this.linkServer =
        new LinkServer(
            new InetSocketAddress(settings.ip(), settings.linkPort()),
            loop.group(),
            new LinkService());
    this.callers =
        HttpListeners.listenForCallers(
            settings.callerAddress(),
            loop,
            new CallerService(
                new CallerService.Environment(
                    operators::config,
                    operators::canServeCallers,
                    () -> isStopping,
                    clock::epochMs,
                    settings.maxRecordBytes(),
                    meters),
                router));
    this.readiness =
        HttpListeners.listenForReadiness(settings.readinessAddress(), loop, this::isReady);
    this.metrics =
        HttpListeners.listenForMetrics(
            new InetSocketAddress(settings.ip(), settings.metricsPort()), loop, meters);
    meters.registerGauge("log_lost_lines", droppedLogLines::getAsLong);
    meters.registerGauge("owned_term", () -> election.tenure().map(OwnerTenure::term).orElse(0L));
    meters.registerGauge("config_version", () -> operators.config().version());
    meters.registerGauge("config_age_ms", operators::configAgeMs);
    loop.execute(this::start);
  }

  private void start() {
    Logger.info(
        "node: event=started name={} dataCentre={} cores={} linkMbps={}",
        settings.name(),
        settings.dataCentre(),
        settings.cpuShare(),
        settings.linkMbps());
    operators.start();
    election.start();
    daemons.start();
    heartbeatDueAtMs = clock.nowMs();
    heartbeat();
  }

  private boolean isReady() {
    return !isStopping && operators.canServeCallers() && router.isConnected() && canOwnerStore();
  }

  /** Returns whether the owner can probably store jobs, judged by the age of its renewal. */
  private boolean canOwnerStore() {
    long nowMs = clock.nowMs();
    return election
        .tenure()
        .map(tenure -> tenure.renewalAgeMs(nowMs) < MAX_READY_RENEWAL_AGE_MS)
        .orElse(
            nowMs - linkHeardAtMs < LINK_SILENCE_MS
                && ownerRenewalAgeMs < MAX_READY_RENEWAL_AGE_MS);
  }

  private boolean isResponsive() {
    return candidate.isResponsive(clock.nowMs() - heartbeatDueAtMs);
  }

  private Heartbeat ownHeartbeat() {
    long nowMs = clock.nowMs();
    Optional<OwnerTenure> tenure = election.tenure();
    return new Heartbeat(
        holder,
        tenure.map(OwnerTenure::term).orElse(0L),
        tenure.map(held -> held.newest().renewalNumber()).orElse(0L),
        tenure.map(held -> held.renewalAgeMs(nowMs)).orElse(0L),
        operators.config().version(),
        operators.configAgeMs(),
        offers.isSeeking());
  }

  private void heartbeat() {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    try {
      candidate.onTimer(nowMs - heartbeatDueAtMs);
      owner.flatMap(Owner::takeLoadSample).ifPresent(offers::onSample);
      keepLinks(nowMs);
      offers.decide();
    } finally {
      heartbeatDueAtMs = nowMs + HEARTBEAT_EVERY_MS;
      loop.schedule(HEARTBEAT_EVERY_MS, this::heartbeat);
    }
  }

  private void keepLinks(long nowMs) {
    Optional<OwnerTenure> tenure = election.tenure();
    if (tenure.isPresent() && linkServer.hasConnections()) {
      linkServer.broadcast(ownHeartbeat());
    }
    if (link.isPresent() && nowMs - linkHeardAtMs > LINK_SILENCE_MS) {
      reconnect(link.get().address());
    }
  }

  private void reconnect(InetSocketAddress address) {
    link.ifPresent(LinkClient::close);
    linkHeardAtMs = clock.nowMs();
    LinkListener listener = new LinkListener();
    LinkClient created = new LinkClient(address, loop.group(), listener);
    listener.client = created;
    link = Optional.of(created);
    router.useLink(link);
  }

  private void closeOwner() {
    owner.ifPresent(Owner::close);
    owner = Optional.empty();
    router.useOwner(owner);
  }

  /** Stops this daemon's owner, if it has one, and leaves its successor what it knows. */
  private CompletionStage<Void> handOverOwner() {
    Optional<Owner> handing = owner;
    owner = Optional.empty();
    router.useOwner(owner);
    return handing.map(Owner::handOver).orElse(CompletableFuture.completedStage(null));
  }

  private void dropLink() {
    link.ifPresent(LinkClient::close);
    link = Optional.empty();
    router.useLink(link);
  }

  /**
   * Shuts down gracefully: hands over or releases the ownership, serves open connections a little
   * longer, and completes when all requests that were read have been answered, at the latest
   * shortly before the grace period ends. The daemon must still be closed afterwards.
   *
   * @param requestedAtNs the {@link System#nanoTime} at which the grace period began
   */
  public CompletionStage<Void> stop(long requestedAtNs) {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          long delayMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - requestedAtNs);
          Logger.info("node: event=stopping");
          isStopping = true;
          RequestDrain drain =
              new RequestDrain(
                  loop,
                  clock,
                  router,
                  callers::closeAsyncGracefully,
                  () -> {
                    Logger.info("node: event=stopped");
                    stopped.complete(null);
                  });
          drain.start(clock.nowMs() - delayMs + settings.shutdownTimeoutMs());
          candidate.onStopping();
          election.withdrawCandidacy();
          offers.stop(
              () ->
                  election.release(
                      Node.this::handOverOwner, () -> loop.execute(() -> linger(drain))));
        });
    return stopped;
  }

  private void linger(RequestDrain drain) {
    election.stepDown("shutdown");
    loop.schedule(LINGER_MS, drain::closeConnections);
  }

  /** Closes everything at once. */
  @Override
  public void close() {
    isClosed = true;
    callers.closeAsync().subscribe();
    readiness.closeAsync().subscribe();
    metrics.closeAsync().subscribe();
    linkServer.close();
    election.close();
    daemons.close();
    operators.close();
    store.close();
    loop.close();
  }

  private final class ElectionListener implements Election.Listener {
    @Override
    public void onOwnershipGained(
        OwnerTenure tenure,
        Optional<OwnerRecord> earlier,
        long earlierSeenAtMs,
        long earlierOrdersOverAtMs) {
      meters.count("ownerships_total", "gained");
      meters.count("ownership_causes_total", ClaimCause.of(earlier, holder).name());
      offers.onGained();
      dropLink();
      owner.ifPresent(Owner::close);
      Owner created =
          new Owner(
              settings,
              loop,
              clock,
              store,
              operators,
              tenure,
              earlier,
              earlierSeenAtMs,
              earlierOrdersOverAtMs,
              meters,
              new OwnerListener());
      owner = Optional.of(created);
      router.useOwner(owner);
      created.start();
      if (earlier.filter(candidate::hasStopped).isPresent()) {
        created.onEarlierOwnerStopped();
      }
      // Daemons that have connected before know only that this one did not own the fleet.
      linkServer.broadcast(ownHeartbeat());
      announcer.ifPresent(Announcer::close);
      Announcer started =
          new Announcer(
              store,
              loop,
              settings,
              tenure,
              earlier,
              () -> {
                if (owner.isPresent() && owner.get() == created) {
                  created.onEarlierOwnerStopped();
                }
              });
      announcer = Optional.of(started);
      started.start();
    }

    @Override
    public OptionalLong earlierOrdersLeftMs() {
      return owner
          .map(current -> OptionalLong.of(current.earlierOrdersLeftMs()))
          .orElse(OptionalLong.empty());
    }

    @Override
    public void onOwnershipLost() {
      meters.count("ownerships_total", "lost");
      announcer.ifPresent(Announcer::close);
      offers.onLost();
      // Other daemons can claim at once when they learn that this one has stepped down.
      linkServer.broadcast(ownHeartbeat());
      closeOwner();
    }

    @Override
    public void onOwnerChanged(OwnerRecord record) {
      daemons.refresh();
      if (owner.isEmpty()) {
        Logger.info("owner: event=changed term={} holder={}", record.term(), record.holder());
        reconnect(new InetSocketAddress(record.host(), record.port()));
      }
    }
  }

  private final class OwnerListener implements Owner.Listener {
    @Override
    public void onFenced(String where) {
      election.stepDown("a later owner has fenced this one at " + where);
    }

    @Override
    public void onBroken(RuntimeException cause) {
      Logger.error(cause, "owner: event=broken");
      election.stepDown("an unexpected error: " + cause);
    }
  }

  private final class LinkListener implements LinkClient.Listener {
    private LinkClient client;

    @Override
    public void onConnected() {
      // The router retries calls that wait for an owner.
    }

    @Override
    public void onHeartbeat(Heartbeat heartbeat) {
      long nowMs = clock.nowMs();
      linkHeardAtMs = nowMs;
      election.onHeartbeat(heartbeat);
      ownerRenewalAgeMs = heartbeat.term() == 0 ? Long.MAX_VALUE : heartbeat.renewalAgeMs();
      operators.onOwnerConfirmed(heartbeat.configVersion(), heartbeat.configAgeMs());
      candidate.onHeartbeat(heartbeat, client::send);
      boolean isBehind = heartbeat.configVersion() > operators.config().version();
      if (isBehind && nowMs - recordsRequestedAtMs > LINK_SILENCE_MS) {
        recordsRequestedAtMs = nowMs;
        link.ifPresent(LinkClient::requestRecords);
      }
    }

    @Override
    public void onOperatorRecord(OperatorRecord stored) {
      operators.onRecordFromOwner(stored);
    }

    @Override
    public void onHandoverMessage(HandoverMessage message) {
      candidate.onMessage(message, client::send);
    }

    @Override
    public void onClosed(boolean isRefused) {
      if (isClosed || link.isEmpty() || link.get() != client) {
        return;
      }
      election.onLinkClosed(isRefused);
      loop.schedule(
          HEARTBEAT_EVERY_MS,
          () -> {
            if (!isClosed && link.isPresent() && link.get() == client) {
              reconnect(client.address());
            }
          });
    }
  }

  private final class HandoverReleaser implements HandoverOffers.Releaser {
    @Override
    public void sendHeartbeat() {
      linkServer.broadcast(ownHeartbeat());
    }

    @Override
    public CompletionStage<Void> stopOrders() {
      return handOverOwner();
    }
  }

  private final class LinkService implements LinkServer.Service {
    @Override
    public CompletionStage<JobReply> call(Call call) {
      if (owner.isEmpty()) {
        return CompletableFuture.completedStage(JobReply.refuse(Code.UNAVAILABLE, 0));
      }
      return owner
          .get()
          .call(call.kind(), call.queue(), call.jobId(), call.payload(), Long.MAX_VALUE);
    }

    @Override
    public Heartbeat heartbeat() {
      return ownHeartbeat();
    }

    @Override
    public void onAnnouncement(byte[] record) {
      try {
        election.onAnnounced(OwnerRecord.decode(record));
      } catch (IOException e) {
        Logger.warn("link: event=unreadable-announcement cause={}", e.getMessage());
      }
    }

    @Override
    public void onHandoverMessage(HandoverMessage message, Consumer<HandoverMessage> reply) {
      offers.onMessage(message, reply);
    }

    @Override
    public List<OperatorRecord> operatorRecords() {
      return operators.export();
    }
  }
}
