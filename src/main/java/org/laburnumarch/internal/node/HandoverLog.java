package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerWatch;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;
import org.laburnumarch.internal.schedule.RunLocations;
import org.tinylog.Logger;

/**
 * What an owner that stops in an orderly way leaves to its successor: the locations of its runs. A
 * successor that does not find the record of just the owner before it has to wait for that owner's
 * leases instead. Used on one thread only.
 */
final class HandoverLog {

  private static final String LOCATIONS_KEY = "runs";

  /**
   * Longest time for which the release of the ownership waits for the record to be stored; a slow
   * store answers in 240 ms.
   */
  private static final long WRITE_WAIT_MS = 300;

  private static final int READ_ATTEMPTS = 3;

  private final StoreClient store;
  private final EventLoopThread loop;
  private final int maxRecordBytes;

  HandoverLog(StoreClient store, EventLoopThread loop, int maxRecordBytes) {
    this.store = store;
    this.loop = loop;
    this.maxRecordBytes = maxRecordBytes;
  }

  /**
   * Stores the locations of the runs of an owner that sends no more orders.
   *
   * @return completes when they are stored, cannot be stored, or have taken too long
   */
  CompletionStage<Void> write(RunLocations locations) {
    byte[] encoded = RunLocationsCodec.encode(locations);
    int tasks = locations.workersByTask().size();
    if (encoded.length + LOCATIONS_KEY.length() + 1 > maxRecordBytes) {
      Logger.warn("owner: event=locations-too-long tasks={} bytes={}", tasks, encoded.length);
      return CompletableFuture.completedStage(null);
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.schedule(WRITE_WAIT_MS, () -> done.complete(null));
    store
        .append(
            StoreClient.HANDOVER_LOG,
            List.of(new KeyedValue(LOCATIONS_KEY, Optional.of(encoded))),
            OptionalLong.empty(),
            Optional.of(new WriterPosition(locations.term(), 0)))
        .whenComplete(
            EventLoopThread.logged(
                (result, failure) -> {
                  boolean isStored = failure == null && result.outcome() == WriteOutcome.STORED;
                  Logger.info(
                      "owner: event=locations-left term={} tasks={} bytes={} stored={}",
                      locations.term(),
                      tasks,
                      encoded.length,
                      isStored);
                  done.complete(null);
                }));
    return done;
  }

  /**
   * Stores what the owner before an owner has left that has not sent any orders, for the next one.
   *
   * @return completes when it is stored, cannot be stored, or has taken too long
   */
  CompletionStage<Void> passOn(long earlierTerm, long term) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.schedule(WRITE_WAIT_MS, () -> done.complete(null));
    read(earlierTerm)
        .thenAccept(
            found ->
                found
                    .map(left -> write(left.withTerm(term)))
                    .orElse(CompletableFuture.completedStage(null))
                    .thenAccept(done::complete));
    return done;
  }

  /**
   * Reads the locations that the owner of a term has left.
   *
   * @return empty if it has left none, or if they cannot be read
   */
  CompletionStage<Optional<RunLocations>> read(long term) {
    CompletableFuture<Optional<RunLocations>> result = new CompletableFuture<>();
    read(term, READ_ATTEMPTS, result);
    return result;
  }

  private void read(long term, int attempts, CompletableFuture<Optional<RunLocations>> result) {
    store
        .readNewest(StoreClient.HANDOVER_LOG, Optional.empty(), OwnerWatch.READ_TIMEOUT_MS)
        .whenComplete(
            EventLoopThread.logged(
                (page, failure) -> {
                  if (failure == null) {
                    result.complete(decode(page).filter(found -> found.term() == term));
                  } else if (attempts > 1) {
                    read(term, attempts - 1, result);
                  } else {
                    Logger.warn(
                        "owner: event=locations-unreadable cause={}",
                        PlatformFailures.unwrap(failure).getMessage());
                    result.complete(Optional.empty());
                  }
                }));
  }

  private static Optional<RunLocations> decode(NewestPage page) {
    return page.records().stream()
        .filter(stored -> stored.key().equals(LOCATIONS_KEY))
        .findFirst()
        .flatMap(StoreRecord::value)
        .flatMap(HandoverLog::decode);
  }

  private static Optional<RunLocations> decode(byte[] value) {
    try {
      return Optional.of(RunLocationsCodec.decode(value));
    } catch (IOException | RuntimeException e) {
      Logger.warn("owner: event=locations-unreadable cause={}", e.getMessage());
      return Optional.empty();
    }
  }
}
