package org.laburnumarch.internal.entry;

import com.codahale.metrics.MetricRegistry;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.tinylog.Logger;

/** The HTTP server for callers and operators; it forwards callers' requests to minions. */
public final class EntryServer implements AutoCloseable {
  private final RequestDispatcher dispatcher;
  private final HttpServerContext server;
  private final ScheduledExecutorService ticker;

  private EntryServer(
      RequestDispatcher dispatcher, HttpServerContext server, ScheduledExecutorService ticker) {
    this.dispatcher = dispatcher;
    this.server = server;
    this.ticker = ticker;
  }

  /**
   * Starts listening.
   *
   * @throws Exception if the address cannot be bound
   */
  public static EntryServer start(
      EntrySettings settings,
      EntryEnvironment environment,
      OperatorRequestHandler operators,
      MetricRegistry registry)
      throws Exception {
    EntryMetrics metrics = new EntryMetrics(registry);
    RequestDispatcher dispatcher =
        new RequestDispatcher(environment, metrics, settings.connectTimeoutMs());
    metrics.registerDemand(dispatcher::demand);
    EntryService service =
        new EntryService(dispatcher, new RequestIntake(environment), operators, registry, metrics);
    HttpServerContext server =
        HttpServers.forAddress(new InetSocketAddress(settings.host(), settings.port()))
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .listenStreaming(service)
            .toFuture()
            .get();
    dispatcher.tick();
    EntryServer entry = new EntryServer(dispatcher, server, ticker(settings, dispatcher));
    Logger.info("entry: listening on {}:{}", settings.host(), entry.port());
    return entry;
  }

  /** Returns the port that it listens on. */
  public int port() {
    return ((InetSocketAddress) server.listenAddress()).getPort();
  }

  /** Returns the running and queued requests of each pool that has had any since the start. */
  public List<PoolDemand> demand() {
    return dispatcher.demand();
  }

  /** Returns whether a request would be served now. */
  public boolean isReady() {
    return dispatcher.checkReady().isEmpty();
  }

  /**
   * Checks deadlines and applies changed routing inputs; the entry itself calls it every {@value
   * EntrySettings#TICK_MS} ms if {@link EntrySettings#isTicking} is set.
   */
  public void tick() {
    dispatcher.tick();
  }

  /**
   * Dispatches the queued requests that may run now, after units of a team or authority were
   * gained.
   *
   * <p>Never called under a lock that the {@link DispatchGate} takes.
   */
  public void dispatchQueued() {
    dispatcher.dispatchQueued();
  }

  /** Refuses new and queued requests from now on; dispatched requests continue. */
  public void beginDrain() {
    dispatcher.beginDrain();
  }

  /**
   * Waits until all dispatched requests have ended, including those that were sent, got no response
   * and may still run at a minion.
   *
   * @param deadlineMs instant of the environment's clock at which the remaining requests are
   *     abandoned
   * @return whether all of them had ended by the deadline
   */
  public CompletionStage<Boolean> awaitDrained(long deadlineMs) {
    return dispatcher.awaitDrained(deadlineMs);
  }

  /** Closes the server and all connections; requests that have not ended get no response. */
  @Override
  public void close() {
    if (ticker != null) {
      ticker.shutdownNow();
    }
    dispatcher.close();
    server.closeAsync().onErrorComplete().subscribe();
  }

  private static ScheduledExecutorService ticker(
      EntrySettings settings, RequestDispatcher dispatcher) {
    if (!settings.isTicking()) {
      return null;
    }
    ScheduledExecutorService ticker =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "entry-tick");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        ticker.scheduleWithFixedDelay(
            () -> tickSafely(dispatcher),
            EntrySettings.TICK_MS,
            EntrySettings.TICK_MS,
            TimeUnit.MILLISECONDS);
    return ticker;
  }

  private static void tickSafely(RequestDispatcher dispatcher) {
    try {
      dispatcher.tick();
    } catch (RuntimeException e) {
      // A scheduled task that throws is never run again.
      Logger.error(e, "entry: a periodic tick failed; the next one runs as scheduled");
    }
  }
}
