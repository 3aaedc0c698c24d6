package org.laburnumarch.internal.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerTenure;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.pacing.OrderPacer;
import org.laburnumarch.internal.platform.AdvisorClient;
import org.laburnumarch.internal.platform.MalformedMessageException;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreRecords;
import org.laburnumarch.internal.platform.WorkerClient;
import org.laburnumarch.internal.platform.WorkerRefusalException;
import org.laburnumarch.internal.schedule.AdviceQuery;
import org.laburnumarch.internal.schedule.Decisions;
import org.laburnumarch.internal.schedule.EndedTask;
import org.laburnumarch.internal.schedule.Order;
import org.laburnumarch.internal.schedule.OrderReply;
import org.laburnumarch.internal.schedule.OrderReply.Outcome;
import org.laburnumarch.internal.schedule.Renewal;
import org.laburnumarch.internal.schedule.ReportFailure;
import org.laburnumarch.internal.schedule.RunEvent;
import org.laburnumarch.internal.schedule.Scheduler;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.laburnumarch.internal.schedule.WorkerReport;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Follows the registry of workers, sends orders to workers, renews their leases and collects their
 * reports. Used on one thread only.
 */
final class WorkerDriver implements AutoCloseable {

  /** How long a read of the registry waits at the store. */
  private static final long REGISTRY_WAIT_MS = 2_000;

  /** Pause after a read that returned records; each worker writes to the registry every 1.5 s. */
  private static final long REGISTRY_PAUSE_MS = 120;

  /**
   * Time after which the requests to further workers wait for the next round. The first request to
   * a worker costs milliseconds of processor time, and the event loop also renews the ownership.
   * The next round goes on with the others, or the last workers would never be asked while the
   * first ones are due again. The order may change in between.
   */
  private static final long MAX_REQUESTS_MS = 50;

  private static final Pattern NOT_PRINTABLE = Pattern.compile("[^ -~]");

  private record Connection(WorkerListing listing, WorkerClient client) {}

  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final OwnerTenure tenure;
  private final Scheduler scheduler;
  private final Runnable onEvent;
  private final Owner.Listener listener;
  private final Meters meters;
  private final OwnerLoad load;
  private final OrderPacer pacer;
  private final StoreTail registry;
  private final Optional<AdvisorClient> advisor;
  private final Map<String, WorkerListing> listings = new HashMap<>();
  private final Map<String, Connection> connections = new HashMap<>();

  /**
   * Workers with a lease renewal in flight, which may wait at the worker until there is something
   * to report.
   */
  private final Set<String> renewing = new HashSet<>();

  /** Workers with a second request for a report in flight beside the renewal. */
  private final Set<String> requestingReport = new HashSet<>();

  /** Highest logged number of an ended task, by worker id and incarnation. */
  private final Map<String, Long> loggedEnds = new HashMap<>();

  /** Ids of workers whose unreadable registry entry has been logged. */
  private final Set<String> loggedAsUnreadable = new HashSet<>();

  private boolean isRegistryRead;
  private boolean isClosed;

  /**
   * The workers that need not be asked again before the others; empty unless a round ended early.
   */
  private final Set<String> passedWorkerIds = new HashSet<>();

  WorkerDriver(
      NodeSettings settings,
      EventLoopThread loop,
      SuspendAwareClock clock,
      StoreClient store,
      OwnerTenure tenure,
      Scheduler scheduler,
      Runnable onEvent,
      Owner.Listener listener,
      Meters meters,
      OwnerLoad load) {
    this.meters = meters;
    this.load = load;
    this.pacer = new OrderPacer(settings.linkMbps(), WorkerClient.ORDER_TIMEOUT_MS);
    scheduler.setStartLimits(pacer);
    this.loop = loop;
    this.clock = clock;
    this.tenure = tenure;
    this.scheduler = scheduler;
    this.onEvent = onEvent;
    this.listener = listener;
    this.advisor = settings.advisorAddress().map(address -> new AdvisorClient(address, loop));
    this.registry =
        new StoreTail(
            store,
            StoreClient.WORKER_REGISTRY_LOG,
            loop,
            clock,
            REGISTRY_WAIT_MS,
            REGISTRY_PAUSE_MS,
            new StoreTail.Listener() {
              @Override
              public void onRecord(String key, Optional<byte[]> value, long offset) {
                onRegistryEntry(key, value);
              }

              @Override
              public void onCaughtUp() {
                onRegistryRead();
              }
            });
  }

  void start() {
    registry.start();
    meters.registerGauge("allowed_starts", pacer::startLimit);
    meters.registerGauge("in_flight_starts", pacer::startsInFlight);
  }

  /** Returns the limit on start orders and what it follows, for the log. */
  String pacingSummary() {
    return pacer.summary();
  }

  /** Returns whether the registry has been read completely at least once. */
  boolean isRegistryRead() {
    return isRegistryRead;
  }

  private void onRegistryEntry(String id, Optional<byte[]> value) {
    if (value.isEmpty()) {
      listings.remove(id);
      return;
    }
    try {
      listings.put(id, StoreRecords.decodeWorker(id, value.get()));
    } catch (MalformedMessageException e) {
      listings.remove(id);
      if (loggedAsUnreadable.add(id)) {
        Logger.warn(
            "workers: event=unreadable worker={} cause={}",
            NOT_PRINTABLE.matcher(id).replaceAll("?"),
            e.getMessage());
      }
    }
  }

  private void onRegistryRead() {
    if (isClosed) {
      return;
    }
    isRegistryRead = true;
    scheduler.updateWorkerListings(listings.values(), clock.nowMs());
    onEvent.run();
  }

  void carryOut(Decisions decisions) {
    decisions.orders().forEach(this::send);
    decisions.queries().forEach(this::requestAdvice);
    decisions.runEvents().forEach(this::report);
    if (pacer.pollStartsHeld()) {
      meters.count("held_start_rounds_total", "link");
      load.onStartsHeld();
    }
    pacer.report(clock.nowMs()).ifPresent(line -> Logger.info("owner: event=pacing {}", line));
  }

  private void report(RunEvent event) {
    Logger.info(
        "orders: event={} task={} run={} worker={}",
        event.kind(),
        event.taskName(),
        event.run(),
        event.workerId());
    meters.count(
        event.kind().isDuplicate() ? "duplicate_runs_total" : "closed_runs_total",
        event.kind().name());
  }

  private Optional<WorkerClient> client(String workerId) {
    Optional<WorkerListing> listing = scheduler.listing(workerId);
    if (listing.isEmpty()) {
      return Optional.empty();
    }
    Connection known = connections.get(workerId);
    if (known != null && known.listing().address().equals(listing.get().address())) {
      return Optional.of(known.client());
    }
    if (known != null) {
      known.client().close();
    }
    WorkerClient created =
        new WorkerClient(
            listing.get().address(), workerId, loop, clock::nowMs, new MeteredTraffic(meters));
    connections.put(workerId, new Connection(listing.get(), created));
    return Optional.of(created);
  }

  private void send(Order order) {
    Optional<WorkerClient> client = client(order.workerId());
    long sentAtMs = clock.nowMs();
    if (order instanceof Order.Start) {
      pacer.onStartSent(order.workerId(), sentAtMs);
    }
    if (client.isEmpty()) {
      onReply(order, sentAtMs, new OrderReply(Outcome.UNREACHABLE, -1));
      return;
    }
    if (order instanceof Order.Start start) {
      client
          .get()
          .start(
              start.taskName(),
              start.run(),
              start.program(),
              start.leaseEndClockMs(),
              tenure.term(),
              start.checkpoint(),
              start.ticket())
          .thenAccept(reply -> onReply(start, sentAtMs, reply));
    } else if (order instanceof Order.Stop stop) {
      client
          .get()
          .stop(stop.taskName(), stop.run(), tenure.term())
          .thenAccept(reply -> onReply(stop, sentAtMs, reply));
    } else if (order instanceof Order.Pace pace) {
      client
          .get()
          .pace(pace.taskName(), pace.run(), pace.percent(), tenure.term())
          .thenAccept(reply -> onReply(pace, sentAtMs, reply));
    }
  }

  private void onReply(Order order, long sentAtMs, OrderReply reply) {
    if (isClosed) {
      return;
    }
    long nowMs = clock.nowMs();
    String kind = order.getClass().getSimpleName();
    Logger.info(
        "orders: event={} task={} run={} worker={} outcome={}",
        kind,
        order.taskName(),
        order.run(),
        order.workerId(),
        reply.outcome());
    meters.count("orders_total", kind + ' ' + reply.outcome());
    meters.recordDuration("order_answer_seconds", nowMs - sentAtMs);
    load.onReply(nowMs - sentAtMs, reply.outcome() != Outcome.UNKNOWN);
    if (order instanceof Order.Start start) {
      boolean isAnswered =
          reply.outcome() != Outcome.UNKNOWN && reply.outcome() != Outcome.UNREACHABLE;
      pacer
          .onStartSettled(start.workerId(), sentAtMs, isAnswered, nowMs)
          .ifPresent(cause -> meters.count("start_limit_cuts_total", cause));
      scheduler.onStartReply(start, reply, nowMs);
    } else if (order instanceof Order.Stop stop) {
      scheduler.onStopReply(stop, reply, nowMs);
    }
    if (reply.outcome() == Outcome.FENCED) {
      listener.onFenced("worker " + order.workerId());
    }
    onEvent.run();
  }

  private void requestAdvice(AdviceQuery query) {
    if (advisor.isEmpty()) {
      scheduler.onAdviceMissed(query.stepName(), clock.nowMs());
      return;
    }
    advisor
        .get()
        .advise(query.stepName(), query.workerIds(), query.timeoutMs())
        .whenComplete(
            (advice, failure) -> {
              if (isClosed) {
                return;
              }
              if (failure == null) {
                scheduler.onAdvice(query, advice.tickets(), advice.validityMs(), clock.nowMs());
              } else {
                Logger.warn(
                    "advice: event=missed step={} cause={}",
                    query.stepName(),
                    PlatformFailures.unwrap(failure).getMessage());
                scheduler.onAdviceMissed(query.stepName(), clock.nowMs());
              }
              onEvent.run();
            });
  }

  void renewLeases() {
    List<String> workerIds = scheduler.workerIds();
    if (connections.size() > workerIds.size()) {
      Set<String> knownWorkerIds = Set.copyOf(workerIds);
      closeUnused(knownWorkerIds);
      pacer.retainWorkers(knownWorkerIds);
    }
    long startedAtMs = clock.nowMs();
    for (String workerId : workerIds) {
      if (passedWorkerIds.contains(workerId)) {
        continue;
      }
      long nowMs = clock.nowMs();
      if (nowMs - startedAtMs >= MAX_REQUESTS_MS) {
        onEvent.run();
        return;
      }
      if (!tenure.hasAuthority(nowMs)) {
        // This process was paused since its last check; a later owner counts no lease from now.
        return;
      }
      passedWorkerIds.add(workerId);
      if (!renewing.contains(workerId)) {
        scheduler.renewal(workerId, nowMs).ifPresent(renewal -> renew(renewal, renewing));
      } else if (!requestingReport.contains(workerId)) {
        scheduler
            .immediateReportRequest(workerId, nowMs)
            .ifPresent(renewal -> renew(renewal, requestingReport));
      }
    }
    passedWorkerIds.clear();
  }

  /** Closes the connections to workers that have left. */
  private void closeUnused(Set<String> knownWorkerIds) {
    connections
        .entrySet()
        .removeIf(
            entry -> {
              boolean isUnused = !knownWorkerIds.contains(entry.getKey());
              if (isUnused) {
                entry.getValue().client().close();
                loggedEnds.keySet().removeIf(key -> key.startsWith(entry.getKey() + '/'));
              }
              return isUnused;
            });
  }

  private void renew(Renewal renewal, Set<String> inFlight) {
    Optional<WorkerClient> client = client(renewal.workerId());
    if (client.isEmpty()) {
      return;
    }
    inFlight.add(renewal.workerId());
    long requestedAtMs = clock.nowMs();
    AtomicLong connectedAtMs = new AtomicLong(Long.MAX_VALUE);
    client
        .get()
        .renew(
            renewal.leaseEndClockMs(),
            tenure.term(),
            renewal.acknowledgedEnd(),
            renewal.waitMs(),
            connectedAtMs::set)
        .whenComplete(
            EventLoopThread.logged(
                (report, failure) -> {
                  inFlight.remove(renewal.workerId());
                  if (isClosed) {
                    return;
                  }
                  if (failure != null) {
                    onRenewalFailed(renewal, requestedAtMs, connectedAtMs.get(), failure);
                  } else {
                    logEnds(renewal.workerId(), report);
                    scheduler
                        .onReport(renewal.workerId(), report, requestedAtMs, clock.nowMs())
                        .forEach(this::send);
                  }
                  onEvent.run();
                }));
  }

  /** Logs ends of tasks that earlier reports of the same incarnation didn't list. */
  private void logEnds(String workerId, WorkerReport report) {
    String incarnation = workerId + '/' + report.startedEpochMs();
    for (EndedTask ended : report.ended()) {
      if (ended.number() > loggedEnds.getOrDefault(incarnation, 0L)) {
        loggedEnds.put(incarnation, ended.number());
        Logger.info(
            "orders: event=End task={} run={} worker={} how={}",
            ended.taskName(),
            ended.run(),
            workerId,
            ended.how());
      }
    }
  }

  private void onRenewalFailed(
      Renewal renewal, long requestedAtMs, long connectedAtMs, Throwable failure) {
    Throwable cause = PlatformFailures.unwrap(failure);
    Logger.info(
        "workers: event=no-report worker={} cause={}", renewal.workerId(), cause.getMessage());
    ReportFailure kind = PlatformFailures.reportFailure(failure);
    meters.count("reports_missed_total", kind.name());
    boolean mayHaveRenewed =
        renewal.leaseEndClockMs() >= 0 && PlatformFailures.mayHaveTakenEffect(failure);
    scheduler.onReportMissed(
        renewal.workerId(),
        kind,
        requestedAtMs,
        mayHaveRenewed ? connectedAtMs : Long.MIN_VALUE,
        clock.nowMs());
    if (cause instanceof WorkerRefusalException refusal && refusal.outcome() == Outcome.FENCED) {
      listener.onFenced("worker " + renewal.workerId());
    }
  }

  /** Stops following the registry and closes all connections. */
  @Override
  public void close() {
    isClosed = true;
    registry.close();
    connections.values().forEach(connection -> connection.client().close());
    advisor.ifPresent(AdvisorClient::close);
  }
}
