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
 * The logs of the platform's store in memory: conditional appends, writers with epochs and sequence
 * numbers, the newest record of each key, and a history that may go. Not thread-safe.
 */
public final class StoreModel {

  /** Answers that are kept to repeat them, for each writer. */
  private static final int REMEMBERED_ANSWERS = 5;

  /**
   * The answer to an append.
   *
   * @param outcome what became of it
   * @param endOffset the log's end after it
   */
  public record Appended(WriteOutcome outcome, long endOffset) {}

  private record Answered(long sequence, Appended answer) {}

  private static final class Writer {
    private long epoch;
    private long nextSequence;
    private final Deque<Answered> answered = new ArrayDeque<>();
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
   * @param position the writer's epoch and sequence number; empty for a write outside any sequence
   */
  public Appended append(
      String name,
      List<KeyedValue> values,
      OptionalLong expectedEnd,
      Optional<WriterPosition> position) {
    Log log = log(name);
    if (position.isPresent()) {
      Optional<Appended> settled = checkWriter(log, position.get());
      if (settled.isPresent()) {
        return settled.get();
      }
    }
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != log.endOffset()) {
      return new Appended(WriteOutcome.CONDITION_FAILED, log.endOffset());
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
    Appended answer = new Appended(WriteOutcome.STORED, log.endOffset());
    position.ifPresent(writer -> remember(log.writer, writer, answer));
    return answer;
  }

  private static Optional<Appended> checkWriter(Log log, WriterPosition position) {
    Writer writer = log.writer;
    if (position.epoch() < writer.epoch) {
      return Optional.of(new Appended(WriteOutcome.FENCED, log.endOffset()));
    }
    if (position.epoch() > writer.epoch) {
      return Optional.empty();
    }
    for (Answered answered : writer.answered) {
      if (answered.sequence() == position.sequence()) {
        return Optional.of(answered.answer());
      }
    }
    return writer.nextSequence == position.sequence()
        ? Optional.empty()
        : Optional.of(new Appended(WriteOutcome.OUT_OF_SEQUENCE, log.endOffset()));
  }

  private static void remember(Writer writer, WriterPosition position, Appended answer) {
    if (position.epoch() > writer.epoch) {
      writer.epoch = position.epoch();
      writer.answered.clear();
    }
    writer.nextSequence = position.sequence() + 1;
    writer.answered.addLast(new Answered(position.sequence(), answer));
    if (writer.answered.size() > REMEMBERED_ANSWERS) {
      writer.answered.removeFirst();
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

  /** Returns the offset of the oldest record that is left. */
  public long firstOffset(String name) {
    return log(name).firstOffset;
  }

  /** Returns the records from an offset on; empty if there are none or they are gone. */
  public List<StoreRecord> read(String name, long fromOffset) {
    Log log = log(name);
    int from = (int) Math.max(0, fromOffset - log.firstOffset);
    return from >= log.history.size()
        ? List.of()
        : List.copyOf(log.history.subList(from, log.history.size()));
  }

  /** Returns the newest record of each key after a key, at most {@code limit}. */
  public List<StoreRecord> newest(String name, String afterKey, int limit) {
    return log(name).newest.tailMap(afterKey, false).values().stream().limit(limit).toList();
  }

  /** Returns the newest value of a key. */
  public Optional<byte[]> value(String name, String key) {
    return Optional.ofNullable(log(name).newest.get(key)).flatMap(StoreRecord::value);
  }

  /** Drops the history of a log; the newest record of each key stays. */
  public void forgetHistory(String name) {
    Log log = log(name);
    log.firstOffset = log.endOffset();
    log.history.clear();
  }
}
