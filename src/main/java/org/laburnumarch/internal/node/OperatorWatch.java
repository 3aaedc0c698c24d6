package org.laburnumarch.internal.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.platform.MalformedMessageException;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreRecords;
import org.laburnumarch.internal.pool.MaintenanceWave;
import org.laburnumarch.internal.time.SuspendAwareClock;
import org.tinylog.Logger;

/**
 * This daemon's copy of the operators' records: the configuration, data centres out of service and
 * maintenance waves. A configuration is never replaced by an older version.
 */
final class OperatorWatch implements AutoCloseable {

  /** How long a read waits at the store; while reads succeed, also bounds the copy's age. */
  private static final long WAIT_MS = 2_000;

  /**
   * Largest age of the configuration at which a daemon serves callers. A revoked key must stop
   * working within the time allowed for configuration changes; more time is allowed while only some
   * of the daemons can read the store.
   */
  private static final long MAX_SERVING_AGE_MS = 4_500;

  @SuppressWarnings("ArrayRecordComponent")
  private record StoredValue(byte[] value, long offset) {}

  private final StoreTail tail;
  private final SuspendAwareClock clock;
  private final List<Runnable> listeners = new ArrayList<>();
  private final Map<String, StoredValue> records = new HashMap<>();

  /** Offset of the newest record of each key, also of deleted keys. */
  private final Map<String, Long> newestOffsets = new HashMap<>();

  private final Map<Long, MaintenanceWave> waves = new TreeMap<>();
  private final Map<Long, Long> waveSeenAtMs = new HashMap<>();
  private FleetConfig config = FleetConfig.EMPTY;
  private Set<String> outOfServiceDataCentres = Set.of();
  private long confirmedByOwnerAtMs = Long.MIN_VALUE / 2;

  OperatorWatch(StoreClient store, EventLoopThread loop, SuspendAwareClock clock) {
    this.clock = clock;
    this.tail =
        new StoreTail(
            store,
            StoreClient.OPERATOR_LOG,
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
                // Each record is applied when it is read.
              }
            });
  }

  void start() {
    tail.start();
  }

  /** Adds a listener that is run after each change. */
  void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  void removeListener(Runnable listener) {
    listeners.remove(listener);
  }

  FleetConfig config() {
    return config;
  }

  Set<String> outOfServiceDataCentres() {
    return outOfServiceDataCentres;
  }

  Map<Long, MaintenanceWave> waves() {
    return waves;
  }

  /** Returns the local time at which a wave was first seen. */
  long waveSeenAtMs(long wave) {
    return waveSeenAtMs.getOrDefault(wave, clock.nowMs());
  }

  /**
   * Returns the time since this daemon last confirmed that no newer configuration exists, by its
   * own read of the store or through the owner.
   */
  long configAgeMs() {
    return clock.nowMs() - Math.max(tail.upToDateAtMs(), confirmedByOwnerAtMs);
  }

  /** Returns whether a configuration exists and is recent enough to serve callers. */
  boolean canServeCallers() {
    return config.isPresent() && configAgeMs() < MAX_SERVING_AGE_MS;
  }

  /**
   * Records the version of the owner's configuration. If this daemon has the same or a newer one,
   * its configuration counts as confirmed at the time of the owner's last confirmation.
   *
   * @param configAgeMs age of the owner's configuration, as in {@link #configAgeMs()}
   */
  void onOwnerConfirmed(long version, long configAgeMs) {
    if (version <= config.version()) {
      confirmedByOwnerAtMs = Math.max(confirmedByOwnerAtMs, clock.nowMs() - configAgeMs);
    }
  }

  /** Applies a record that the owner has read and sent. */
  void onRecordFromOwner(OperatorRecord stored) {
    apply(stored.key(), Optional.of(stored.value()), stored.offset());
  }

  /** Returns all records, for a daemon that cannot read the store. */
  List<OperatorRecord> export() {
    List<OperatorRecord> list = new ArrayList<>();
    records.forEach(
        (key, stored) -> list.add(new OperatorRecord(key, stored.value(), stored.offset())));
    return list;
  }

  /** Applies a record unless the same or a newer one of its key is known. */
  void apply(String key, Optional<byte[]> value, long offset) {
    if (newestOffsets.getOrDefault(key, -1L) >= offset) {
      return;
    }
    newestOffsets.put(key, offset);
    try {
      if (key.equals(StoreRecords.CONFIG_KEY)) {
        applyConfig(value, offset);
      } else if (key.startsWith(StoreRecords.EVACUATION_PREFIX)) {
        updateRecord(key, value, offset);
        applyOutOfServiceDataCentres();
      } else if (key.startsWith(StoreRecords.WAVE_PREFIX)) {
        applyWave(key, value, offset);
      }
    } catch (MalformedMessageException e) {
      Logger.warn("operators: event=unreadable key={} cause={}", key, e.getMessage());
      return;
    }
    List.copyOf(listeners).forEach(Runnable::run);
  }

  private void applyConfig(Optional<byte[]> value, long offset) throws MalformedMessageException {
    // A configuration remains in effect when its record is deleted.
    if (value.isEmpty()) {
      return;
    }
    FleetConfig decoded = StoreRecords.decodeConfig(value.get());
    if (decoded.version() <= config.version()) {
      return;
    }
    updateRecord(StoreRecords.CONFIG_KEY, value, offset);
    config = decoded;
    Logger.info(
        "operators: event=config version={} queues={} teams={}",
        decoded.version(),
        decoded.queues().size(),
        decoded.teams().size());
  }

  private void applyOutOfServiceDataCentres() {
    outOfServiceDataCentres =
        records.keySet().stream()
            .filter(key -> key.startsWith(StoreRecords.EVACUATION_PREFIX))
            .map(key -> key.substring(StoreRecords.EVACUATION_PREFIX.length()))
            .collect(Collectors.toUnmodifiableSet());
    Logger.info("operators: event=out-of-service dataCentres={}", outOfServiceDataCentres);
  }

  private void applyWave(String key, Optional<byte[]> value, long offset)
      throws MalformedMessageException {
    updateRecord(key, value, offset);
    if (value.isPresent()) {
      MaintenanceWave wave = StoreRecords.decodeWave(value.get());
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

  private void updateRecord(String key, Optional<byte[]> value, long offset) {
    if (value.isPresent()) {
      records.put(key, new StoredValue(value.get(), offset));
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
