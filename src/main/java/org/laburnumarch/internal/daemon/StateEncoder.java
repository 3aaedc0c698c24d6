package org.laburnumarch.internal.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.SnapshotCodec;

/**
 * Encodes states on a separate thread.
 *
 * <p>A state with 10,000 operations takes about 120 ms, for which it would block the core loop.
 */
final class StateEncoder implements AutoCloseable {
  private final SnapshotCodec codec;
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "state-images");
            thread.setDaemon(true);
            return thread;
          });
  private ControlState lastState;
  private CompletableFuture<byte[]> lastEncoding;

  StateEncoder(SnapshotCodec codec) {
    this.codec = codec;
  }

  /** Encodes a state; repeated calls with the same state share one encoding. On the core loop. */
  @SuppressWarnings("ReferenceEquality") // Each state is a new object.
  CompletionStage<byte[]> encode(ControlState state) {
    if (lastState != state) {
      lastState = state;
      lastEncoding = CompletableFuture.supplyAsync(() -> codec.encode(state), executor);
    }
    return lastEncoding;
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
