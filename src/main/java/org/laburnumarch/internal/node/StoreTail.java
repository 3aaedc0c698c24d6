package org.laburnumarch.internal.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.platform.PlatformFailures;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.LogChunk;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * Reads a log continuously and passes the newest record of each key to a listener. Keeps only the
 * offsets of these records. Used on one thread only.
 */
final class StoreTail implements AutoCloseable {

  /** Pause after a read that failed. */
  private static final long RETRY_MS = 150;

  /** Receives changes. */
  interface Listener {

    /** A key has a new value; empty if it was deleted. */
    void onRecord(String key, Optional<byte[]> value, long offset);

    /** The newest record of every key has been passed on, up to the end of the log. */
    void onCaughtUp();
  }

  private final StoreClient store;
  private final String log;
  private final EventLoopThread loop;
  private final SuspendAwareClock clock;
  private final long waitMs;
  private final long pauseMs;
  private final Listener listener;
  private final Map<String, Long> offsets = new HashMap<>();
  private long nextOffset = -1;
  private long upToDateAtMs = Long.MIN_VALUE / 2;
  private boolean isFailing;
  private boolean isClosed;

  /**
   * Creates a tail that reads nothing until {@link #start}.
   *
   * @param log the log's name
   * @param waitMs how long a read waits at the store for a record
   * @param pauseMs pause after a read that returned records, so that records come in batches
   */
  StoreTail(
      StoreClient store,
      String log,
      EventLoopThread loop,
      SuspendAwareClock clock,
      long waitMs,
      long pauseMs,
      Listener listener) {
    this.store = store;
    this.log = log;
    this.loop = loop;
    this.clock = clock;
    this.waitMs = waitMs;
    this.pauseMs = pauseMs;
    this.listener = listener;
  }

  void start() {
    readNewest();
  }

  /** Returns the latest local time as of which all records are known to have been passed on. */
  long upToDateAtMs() {
    return upToDateAtMs;
  }

  private void readNewest() {
    readPage(Optional.empty(), new HashSet<>(), -1, clock.nowMs());
  }

  private void readPage(
      Optional<String> afterKey, Set<String> seenKeys, long firstPageEnd, long sentAtMs) {
    if (isClosed) {
      return;
    }
    store
        .readNewest(log, afterKey)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                retry(failure, this::readNewest);
                return;
              }
              onPage(page, seenKeys, firstPageEnd, sentAtMs);
            });
  }

  private void onPage(NewestPage page, Set<String> seenKeys, long firstPageEnd, long sentAtMs) {
    // Pages are not a consistent snapshot: changes between them are read again, from the end of the
    // log at the first page.
    long end = firstPageEnd < 0 ? page.endOffset() : firstPageEnd;
    for (StoreRecord stored : page.records()) {
      seenKeys.add(stored.key());
      apply(stored);
    }
    if (page.continueAfter().isPresent()) {
      readPage(page.continueAfter(), seenKeys, end, sentAtMs);
      return;
    }
    for (String key : Set.copyOf(offsets.keySet())) {
      if (!seenKeys.contains(key)) {
        offsets.remove(key);
        passOn(key, Optional.empty(), end);
      }
    }
    nextOffset = end;
    onSuccess(sentAtMs);
    readNext();
  }

  private void readNext() {
    if (isClosed) {
      return;
    }
    long sentAtMs = clock.nowMs();
    store
        .read(log, nextOffset, waitMs)
        .whenComplete(
            (chunk, failure) -> {
              if (failure != null) {
                retry(failure, this::readNext);
              } else if (chunk.isTruncated() || chunk.endOffset() < nextOffset) {
                readNewest();
              } else {
                onChunk(chunk, sentAtMs);
              }
            });
  }

  private void onChunk(LogChunk chunk, long sentAtMs) {
    chunk.records().forEach(this::apply);
    nextOffset = chunk.nextOffset();
    if (nextOffset >= chunk.endOffset()) {
      onSuccess(sentAtMs);
    }
    if (pauseMs > 0 && !chunk.records().isEmpty()) {
      loop.schedule(pauseMs, this::readNext);
    } else {
      readNext();
    }
  }

  private void apply(StoreRecord stored) {
    if (offsets.getOrDefault(stored.key(), -1L) >= stored.offset()) {
      return;
    }
    if (stored.value().isPresent()) {
      offsets.put(stored.key(), stored.offset());
    } else {
      offsets.remove(stored.key());
    }
    passOn(stored.key(), stored.value(), stored.offset());
  }

  /** Passes on a record; one that the listener cannot handle must not end the reading. */
  private void passOn(String key, Optional<byte[]> value, long offset) {
    try {
      listener.onRecord(key, value, offset);
    } catch (RuntimeException e) {
      Logger.error(e, "store: event=unhandled log={} key={}", log, key);
    }
  }

  private void onSuccess(long sentAtMs) {
    upToDateAtMs = Math.max(upToDateAtMs, sentAtMs);
    if (isFailing) {
      isFailing = false;
      Logger.info("store: event=regained log={}", log);
    }
    try {
      listener.onCaughtUp();
    } catch (RuntimeException e) {
      Logger.error(e, "store: event=unhandled log={}", log);
    }
  }

  private void retry(Throwable failure, Runnable action) {
    if (isClosed) {
      return;
    }
    if (!isFailing) {
      isFailing = true;
      Logger.warn(
          "store: event=lost log={} cause={}", log, PlatformFailures.unwrap(failure).getMessage());
    }
    loop.schedule(RETRY_MS, action);
  }

  /** Stops reading. */
  @Override
  public void close() {
    isClosed = true;
  }
}
