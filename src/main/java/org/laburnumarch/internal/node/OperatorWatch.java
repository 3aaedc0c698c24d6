package org.laburnumarch.internal.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.laburnumarch.internal.http.HttpLoop;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.platform.MalformedMessageException;
import org.laburnumarch.internal.platform.OperatorRecords;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.pool.MaintenanceWave;
import org.laburnumarch.internal.time.LocalClock;
import org.tinylog.Logger;

/**
 * The operators' records as this daemon knows them: configuration, data centres out of service and
 * maintenance waves. A configuration is never replaced by an older version.
 */
final class OperatorWatch implements AutoCloseable {

  /** How long a read waits at the store; also bounds the age of what is known. */
  private static final long WAIT_MS = 2_000;

  /**
   * Age of its knowledge up to which a daemon serves callers. A withdrawn key must stop working
   * within the bound for configuration, stretched while the store serves only some daemons.
   */
  private static final long SERVING_AGE_MS = 4_500;

  @SuppressWarnings("ArrayRecordComponent")
  private record Stored(byte[] value, long offset) {}

  private final StoreTail tail;
  private final LocalClock clock;
  private final List<Runnable> listeners = new ArrayList<>();
  private final Map<String, Stored> records = new HashMap<>();
  private final Map<Long, MaintenanceWave> waves = new TreeMap<>();
  private final Map<Long, Long> waveSeenAtMs = new HashMap<>();
  private FleetConfig config = FleetConfig.EMPTY;
  private Set<String> evacuated = Set.of();
  private long confirmedByOwnerAtMs = Long.MIN_VALUE / 2;

  OperatorWatch(StoreClient store, HttpLoop loop, LocalClock clock) {
    this.clock = clock;
    this.tail =
        new StoreTail(
            store,
            StoreClient.OPERATORS,
            loop,
            clock,
            WAIT_MS,
            0,
            new StoreTail.Listener() {
              @Override
              public void onRecord(String key, Optional<byte[]> value, long offset) {
                apply(key, value, offset);
              }

              @Override
              public void onCaughtUp() {
                // Each record is applied as it comes.
              }
            });
  }

  void start() {
    tail.start();
  }

  /** Adds what is run after each change. */
  void onChange(Runnable listener) {
    listeners.add(listener);
  }

  FleetConfig config() {
    return config;
  }

  Set<String> evacuated() {
    return evacuated;
  }

  Map<Long, MaintenanceWave> waves() {
    return waves;
  }

  /** Returns the local time at which a wave was first seen. */
  long waveSeenAtMs(long wave) {
    return waveSeenAtMs.getOrDefault(wave, clock.nowMs());
  }

  /** Returns the age of the knowledge that no newer configuration exists. */
  long freshAgoMs() {
    return clock.nowMs() - Math.max(tail.freshAtMs(), confirmedByOwnerAtMs);
  }

  /** Returns whether callers may be served by what is known. */
  boolean isServing() {
    return config.isPresent() && freshAgoMs() < SERVING_AGE_MS;
  }

  /** Notes that the owner, whose knowledge is that old, knows no newer version. */
  void onOwnerKnows(long version, long freshAgoMs) {
    if (version <= config.version()) {
      confirmedByOwnerAtMs = Math.max(confirmedByOwnerAtMs, clock.nowMs() - freshAgoMs);
    }
  }

  /** Takes up a record that another daemon has read. */
  void onRecordFromOwner(OperatorRecord stored) {
    apply(stored.key(), Optional.of(stored.value()), stored.offset());
  }

  /** Returns all records, for a daemon that the store does not serve. */
  List<OperatorRecord> export() {
    List<OperatorRecord> list = new ArrayList<>();
    records.forEach(
        (key, stored) -> list.add(new OperatorRecord(key, stored.value(), stored.offset())));
    return list;
  }

  private void apply(String key, Optional<byte[]> value, long offset) {
    Stored known = records.get(key);
    if (known != null && known.offset() >= offset) {
      return;
    }
    try {
      if (key.equals(OperatorRecords.CONFIG_KEY)) {
        applyConfig(value, offset);
      } else if (key.startsWith(OperatorRecords.EVACUATION_PREFIX)) {
        store(key, value, offset);
        applyEvacuations();
      } else if (key.startsWith(OperatorRecords.WAVE_PREFIX)) {
        applyWave(key, value, offset);
      }
    } catch (MalformedMessageException e) {
      Logger.warn("operators: event=unreadable key={} cause={}", key, e.getMessage());
      return;
    }
    listeners.forEach(Runnable::run);
  }

  private void applyConfig(Optional<byte[]> value, long offset) throws MalformedMessageException {
    // A configuration stays in force when its record is deleted.
    if (value.isEmpty()) {
      return;
    }
    FleetConfig decoded = OperatorRecords.config(value.get());
    if (decoded.version() <= config.version()) {
      return;
    }
    store(OperatorRecords.CONFIG_KEY, value, offset);
    config = decoded;
    Logger.info(
        "operators: event=config version={} queues={} teams={}",
        decoded.version(),
        decoded.queues().size(),
        decoded.teams().size());
  }

  private void applyEvacuations() {
    evacuated =
        records.keySet().stream()
            .filter(key -> key.startsWith(OperatorRecords.EVACUATION_PREFIX))
            .map(key -> key.substring(OperatorRecords.EVACUATION_PREFIX.length()))
            .collect(Collectors.toUnmodifiableSet());
    Logger.info("operators: event=out-of-service dataCentres={}", evacuated);
  }

  private void applyWave(String key, Optional<byte[]> value, long offset)
      throws MalformedMessageException {
    store(key, value, offset);
    if (value.isPresent()) {
      MaintenanceWave wave = OperatorRecords.wave(value.get());
      waves.put(wave.number(), wave);
      waveSeenAtMs.putIfAbsent(wave.number(), clock.nowMs());
      Logger.info(
          "operators: event=wave number={} instances={} atOnce={} dueMs={}",
          wave.number(),
          wave.machines().size(),
          wave.atOnce(),
          wave.dueMs());
    }
  }

  private void store(String key, Optional<byte[]> value, long offset) {
    if (value.isPresent()) {
      records.put(key, new Stored(value.get(), offset));
    } else {
      records.remove(key);
    }
  }

  /** Stops reading. */
  @Override
  public void close() {
    tail.close();
  }
}
