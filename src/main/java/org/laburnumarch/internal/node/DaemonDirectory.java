package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.InstanceSize;
import org.laburnumarch.internal.platform.NodeSettings;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.StoreRecord;
import org.laburnumarch.internal.platform.StoreClient.WriteResult;
import org.tinylog.Logger;

/**
 * Registers this daemon in the store and knows the sizes of all daemons' instances from there. Used
 * on one thread only.
 */
final class DaemonDirectory implements AutoCloseable {

  private static final long REGISTER_RETRY_MS = 700;

  /** Short, because a daemon claims no ownership before it has read the sizes. */
  private static final long READ_RETRY_MS = 150;

  /**
   * Time between two reads. A daemon that started before the others would otherwise not know that
   * they are larger, and claim without a delay.
   */
  private static final long REFRESH_EVERY_MS = 3_000;

  /** Time that all daemons have to register when the whole system starts for the first time. */
  private static final long FIRST_START_WAIT_MS = 400;

  private final StoreClient store;
  private final EventLoopThread loop;
  private final NodeSettings settings;
  private final InstanceSize ownSize;
  private final List<InstanceSize> sizes = new ArrayList<>();
  private boolean isRead;
  private boolean isReading;
  private boolean isClosed;

  DaemonDirectory(StoreClient store, EventLoopThread loop, NodeSettings settings) {
    this.store = store;
    this.loop = loop;
    this.settings = settings;
    this.ownSize = new InstanceSize(settings.cpuShare(), settings.linkMbps());
  }

  /** Registers this daemon and reads the others; retries until both succeed. */
  void start() {
    register();
    loop.schedule(settings.isFirstStart() ? FIRST_START_WAIT_MS : 0, this::refreshAtIntervals);
  }

  private void refreshAtIntervals() {
    if (!isClosed) {
      refresh();
      loop.schedule(REFRESH_EVERY_MS, this::refreshAtIntervals);
    }
  }

  private void register() {
    if (isClosed) {
      return;
    }
    writeOwnRecord()
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                loop.schedule(REGISTER_RETRY_MS, this::register);
              }
            });
  }

  /** Writes this daemon's record once. */
  CompletionStage<WriteResult> writeOwnRecord() {
    DaemonRecord record = new DaemonRecord(settings.ip(), settings.linkPort(), ownSize);
    return store.append(
        StoreClient.DAEMON_LOG,
        List.of(new KeyedValue(settings.name(), Optional.of(record.encode()))),
        OptionalLong.empty(),
        Optional.empty());
  }

  /** Reads the sizes again; retries until it succeeds. */
  void refresh() {
    if (isClosed || isReading) {
      return;
    }
    isReading = true;
    read();
  }

  private void read() {
    if (isClosed) {
      return;
    }
    store
        .readNewest(StoreClient.DAEMON_LOG, Optional.empty())
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                loop.schedule(READ_RETRY_MS, this::read);
              } else {
                isReading = false;
                onRead(page);
              }
            });
  }

  private void onRead(NewestPage page) {
    isRead = true;
    sizes.clear();
    for (StoreRecord daemon : page.records()) {
      try {
        if (daemon.value().isPresent()) {
          sizes.add(DaemonRecord.decode(daemon.value().get()).size());
        }
      } catch (IOException e) {
        Logger.warn("nodes: event=unreadable node={} cause={}", daemon.key(), e.getMessage());
      }
    }
  }

  /**
   * Returns by how much this daemon delays a claim of the ownership, in milliseconds; empty until
   * the directory has been read once.
   */
  OptionalLong claimDelayMs() {
    return isRead ? OptionalLong.of(ownSize.claimDelayMs(sizes)) : OptionalLong.empty();
  }

  /** Stops reading and registering. */
  @Override
  public void close() {
    isClosed = true;
  }
}
