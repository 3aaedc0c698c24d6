package org.laburnumarch.internal.emulator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.laburnumarch.internal.emulator.LoadClient.Kind;
import org.laburnumarch.internal.emulator.LoadClient.Reply;
import org.laburnumarch.internal.emulator.LoadResults.CallerOutcome;

/** A bounded run of the load generator; all its decisions are made on one thread. */
final class LoadRun implements AutoCloseable {

  /** A request counts as lost if there is no response until its deadline plus this time. */
  private static final long LOST_AFTER_DEADLINE_MS = 2_000;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** A request in flight. */
  private record Request(
      String id, String team, String key, String service, boolean idempotent, long startedNs) {}

  private final LoadOptions options;
  private final List<LoadOptions.Identity> identities;
  private final List<LoadClient> entries = new ArrayList<>();
  private final LoadResults results = new LoadResults();
  private final UniformRandomProvider random;
  private final Timer loop = new Timer("load");
  private final CountDownLatch finished = new CountDownLatch(1);
  private final AtomicInteger outstanding = new AtomicInteger();
  private long endNs;
  private int startedCount;
  private int nextEntry;
  private boolean hasStoppedStarting;

  /** Creates a run that has not started. */
  LoadRun(LoadOptions options) throws Exception {
    this.options = options;
    this.identities = options.identities();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
    for (InetSocketAddress address : options.entryAddresses()) {
      entries.add(new LoadClient(address));
    }
  }

  /** Runs until the last request has ended and returns the results as the callers saw them. */
  LoadResults run() throws InterruptedException {
    endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds);
    if (options.ratePerSecond > 0) {
      long periodNs = Math.max(1, Math.round(1e9 / options.ratePerSecond));
      loop.scheduleAtFixedRate(periodNs, TimeUnit.NANOSECONDS, this::startOpen);
    } else {
      for (int i = 0; i < options.callers; i++) {
        loop.execute(this::startClosed);
      }
    }
    long timeoutMs = options.timeoutMs + LOST_AFTER_DEADLINE_MS;
    long maxRunMs = options.seconds * 1_000 + timeoutMs * (entries.size() + 1);
    if (!finished.await(maxRunMs, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException(outstanding.get() + " requests did not end");
    }
    return results;
  }

  private boolean mayStart() {
    boolean mayStart = System.nanoTime() < endNs && startedCount < options.maxRequests;
    hasStoppedStarting |= !mayStart;
    return mayStart;
  }

  private void startOpen() {
    if (mayStart()) {
      if (outstanding.get() < options.maxOutstanding) {
        start(() -> {});
      }
    }
    finishIfIdle();
  }

  private void startClosed() {
    if (mayStart()) {
      start(this::startClosed);
    } else {
      finishIfIdle();
    }
  }

  private void finishIfIdle() {
    if (hasStoppedStarting && outstanding.get() == 0) {
      finished.countDown();
    }
  }

  private void start(Runnable next) {
    Request request = randomRequest();
    outstanding.incrementAndGet();
    send(request, entries.size())
        .whenComplete((reply, failure) -> loop.execute(() -> end(request, reply, failure, next)));
  }

  private Request randomRequest() {
    LoadOptions.Identity identity = identities.get(random.nextInt(identities.size()));
    String service = options.serviceNames().get(random.nextInt(options.serviceNames().size()));
    boolean idempotent = random.nextDouble() >= options.postFraction;
    boolean open = options.isOpen(service);
    String team = open ? "open" : identity.team();
    String id = team + "~" + options.seed + "-" + startedCount++;
    String key = open ? "" : identity.key();
    return new Request(id, team, key, service, idempotent, System.nanoTime());
  }

  /** Sends to the entries in turn; tries the next entry if nothing of the request was sent. */
  private CompletionStage<Reply> send(Request request, int remainingEntries) {
    LoadClient entry = entries.get(Math.floorMod(nextEntry++, entries.size()));
    return entry
        .send(
            request.idempotent() ? "GET" : "POST",
            "/" + request.service() + "/work/" + request.id(),
            request.key(),
            request.idempotent() ? EMPTY_BODY : request.id().getBytes(StandardCharsets.UTF_8),
            options.timeoutMs,
            options.timeoutMs + LOST_AFTER_DEADLINE_MS)
        .thenComposeAsync(
            reply ->
                reply.kind() == Kind.NOT_SENT && remainingEntries > 1
                    ? send(request, remainingEntries - 1)
                    : CompletableFuture.completedFuture(reply),
            loop);
  }

  private void end(Request request, Reply reply, Throwable failure, Runnable next) {
    Reply observed =
        failure == null ? reply : Reply.withoutResponse(Kind.CONNECTION_LOST, failure.toString());
    long latencyUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - request.startedNs());
    CallerOutcome outcome =
        results.recordEnd(request.id(), request.team(), request.idempotent(), observed, latencyUs);
    outstanding.decrementAndGet();
    if (outcome == CallerOutcome.DONE) {
      next.run();
    } else {
      loop.schedule(options.refusalPauseMs, TimeUnit.MILLISECONDS, next);
    }
    finishIfIdle();
  }

  @Override
  public void close() {
    loop.close();
    entries.forEach(LoadClient::close);
  }
}
