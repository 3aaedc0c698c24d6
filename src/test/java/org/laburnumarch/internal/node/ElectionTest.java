package org.laburnumarch.internal.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.mockito.ArgumentMatchers.any;
import static org.mockito.ArgumentMatchers.anyLong;
import static org.mockito.Mockito.doAnswer;
import static org.mockito.Mockito.mock;
import static org.mockito.Mockito.when;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.lead.OwnerRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.NewestPage;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriteResult;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests claims and releases of the ownership, in virtual time and with a mocked store. */
class ElectionTest {

  private final StoreClient store = mock(StoreClient.class);
  private final EventLoopThread loop = mock(EventLoopThread.class);
  private final SuspendAwareClock clock = mock(SuspendAwareClock.class);
  private final Deque<Runnable> delayed = new ArrayDeque<>();
  private final List<byte[]> writes = new ArrayList<>();
  private final Deque<CompletableFuture<WriteResult>> answers = new ArrayDeque<>();
  private final Election election =
      new Election(
          store,
          loop,
          clock,
          "north-1/17",
          "127.0.0.1",
          7_000,
          () -> OptionalLong.of(0),
          () -> true,
          mock(Election.Listener.class));
  private boolean isReleased;

  @BeforeEach
  void claim() {
    doAnswer(
            invocation -> {
              delayed.add(invocation.getArgument(1));
              return null;
            })
        .when(loop)
        .schedule(anyLong(), any());
    when(store.readNewest(any(), any(), anyLong()))
        .thenReturn(
            CompletableFuture.completedStage(new NewestPage(List.of(), 0, Optional.empty())));
    when(store.append(any(), any(), any(), any(), anyLong()))
        .thenAnswer(
            invocation -> {
              List<KeyedValue> records = invocation.getArgument(1);
              writes.add(records.get(0).value().orElseThrow());
              answers.add(new CompletableFuture<>());
              return answers.getLast();
            });
    election.start();
    assertThat(writes).hasSize(1);
  }

  private void release() {
    election.release(() -> CompletableFuture.completedStage(null), () -> isReleased = true);
  }

  private void runDelayed() {
    for (int left = delayed.size(); left > 0; left--) {
      delayed.remove().run();
    }
  }

  /** Guards against a stopping daemon that owns the fleet until its process ends. */
  @Test
  void shouldReleaseAnOwnershipWhoseClaimWasUnderWayAtTheStop() throws IOException {
    release();
    runDelayed();
    assertThat(isReleased).isFalse();
    answers.remove().complete(new WriteResult(WriteOutcome.STORED, 1));
    runDelayed();
    assertThat(writes).hasSize(2);
    assertThat(OwnerRecord.decode(writes.get(1)).isReleased()).isTrue();
    answers.remove().complete(new WriteResult(WriteOutcome.STORED, 2));
    assertThat(isReleased).isTrue();
    assertThat(election.tenure()).isEmpty();
  }

  @Test
  void shouldNotWaitAtTheStopForAClaimThatHasFailed() {
    release();
    answers.remove().complete(new WriteResult(WriteOutcome.CONDITION_FAILED, 1));
    runDelayed();
    assertThat(isReleased).isTrue();
  }
}
