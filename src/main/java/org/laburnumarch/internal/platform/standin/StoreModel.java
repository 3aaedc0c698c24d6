package org.laburnumarch.internal.platform.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;

/**
 * An in-memory model of the logs of the platform's store: conditional appends, writers with epochs
 * and sequence numbers, the newest record of each key, and a history that can be dropped. Not
 * thread-safe.
 */
public final class StoreModel {

  /** Number of results kept for each writer, to be returned again for repeated writes. */
  private static final int CACHED_RESULTS_PER_WRITER = 5;

  /**
   * The result of an append.
   *
   * @param outcome whether the records were stored, or why not
   * @param endOffset the log's end offset after the append
   */
  public record AppendResult(WriteOutcome outcome, long endOffset) {}

  private record CachedResult(long sequence, AppendResult result) {}

  private static final class Writer {
    private long epoch;
    private long nextSequence;
    private final Deque<CachedResult> cachedResults = new ArrayDeque<>();
  }

  private static final class Log {
    private final List<StoreRecord> history = new ArrayList<>();
    private final TreeMap<String, StoreRecord> newest = new TreeMap<>();
    private final Writer writer = new Writer();
    private long firstOffset;

    long endOffset() {
      return firstOffset + history.size();
    }
  }

  private final Map<String, Log> logs = new HashMap<>();

  private Log log(String name) {
    return logs.computeIfAbsent(name, ignored -> new Log());
  }

  /**
   * Appends records, all or none.
   *
   * @param expectedEnd the offset at which the log must end; empty for no condition
   * @param position the writer's epoch and sequence number; empty for a write without a sequence
   */
  public AppendResult append(
      String name,
      List<KeyedValue> values,
      OptionalLong expectedEnd,
      Optional<WriterPosition> position) {
    Log log = log(name);
    if (position.isPresent()) {
      Optional<AppendResult> decided = checkWriterPosition(log, position.get());
      if (decided.isPresent()) {
        return decided.get();
      }
    }
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != log.endOffset()) {
      return new AppendResult(WriteOutcome.CONDITION_FAILED, log.endOffset());
    }
    for (KeyedValue value : values) {
      StoreRecord stored = new StoreRecord(value.key(), value.value(), log.endOffset());
      log.history.add(stored);
      if (value.value().isPresent()) {
        log.newest.put(value.key(), stored);
      } else {
        log.newest.remove(value.key());
      }
    }
    AppendResult result = new AppendResult(WriteOutcome.STORED, log.endOffset());
    position.ifPresent(writer -> cacheResult(log.writer, writer, result));
    return result;
  }

  private static Optional<AppendResult> checkWriterPosition(Log log, WriterPosition position) {
    Writer writer = log.writer;
    if (position.epoch() < writer.epoch) {
      return Optional.of(new AppendResult(WriteOutcome.FENCED, log.endOffset()));
    }
    if (position.epoch() > writer.epoch) {
      return Optional.empty();
    }
    for (CachedResult cached : writer.cachedResults) {
      if (cached.sequence() == position.sequence()) {
        return Optional.of(cached.result());
      }
    }
    return writer.nextSequence == position.sequence()
        ? Optional.empty()
        : Optional.of(new AppendResult(WriteOutcome.OUT_OF_SEQUENCE, log.endOffset()));
  }

  private static void cacheResult(Writer writer, WriterPosition position, AppendResult result) {
    if (position.epoch() > writer.epoch) {
      writer.epoch = position.epoch();
      writer.cachedResults.clear();
    }
    writer.nextSequence = position.sequence() + 1;
    writer.cachedResults.addLast(new CachedResult(position.sequence(), result));
    if (writer.cachedResults.size() > CACHED_RESULTS_PER_WRITER) {
      writer.cachedResults.removeFirst();
    }
  }

  /** Returns whether a log exists. */
  public boolean exists(String name) {
    return logs.containsKey(name);
  }

  /** Returns the offset after a log's last record. */
  public long endOffset(String name) {
    return log(name).endOffset();
  }

  /** Returns the offset of the oldest record that can still be read. */
  public long firstOffset(String name) {
    return log(name).firstOffset;
  }

  /**
   * Returns the retained records from an offset on, which may start later if older ones were
   * dropped.
   */
  public List<StoreRecord> read(String name, long fromOffset) {
    Log log = log(name);
    int from = (int) Math.max(0, fromOffset - log.firstOffset);
    return from >= log.history.size()
        ? List.of()
        : List.copyOf(log.history.subList(from, log.history.size()));
  }

  /**
   * Returns the newest record of each key that sorts after {@code afterKey}, at most {@code limit}
   * records.
   */
  public List<StoreRecord> newest(String name, String afterKey, int limit) {
    return log(name).newest.tailMap(afterKey, false).values().stream().limit(limit).toList();
  }

  /** Returns the newest value of a key. */
  public Optional<byte[]> value(String name, String key) {
    return Optional.ofNullable(log(name).newest.get(key)).flatMap(StoreRecord::value);
  }

  /** Drops the history of a log; the newest record of each key is kept. */
  public void dropHistory(String name) {
    Log log = log(name);
    log.firstOffset = log.endOffset();
    log.history.clear();
  }
}
