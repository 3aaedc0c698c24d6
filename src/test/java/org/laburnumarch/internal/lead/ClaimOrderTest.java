package org.laburnumarch.internal.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Simulates the claims of many daemons on virtual time, with random sizes, phases of timers and
 * faults. Guards against an owner on a small instance while larger instances read the store.
 */
class ClaimOrderTest {

  private static final int DAEMONS = 34;
  private static final long TICK_MS = 100;
  private static final long NEXT_READ_MS = 50;
  private static final long HEARTBEAT_MS = 250;
  private static final long FAULT_MS = 2_500;
  private static final long END_MS = 15_000;
  private static final InstanceSize LARGE = new InstanceSize(1.5, 140);
  private static final List<InstanceSize> SMALL =
      List.of(new InstanceSize(0.36, 7), new InstanceSize(0.5, 20), new InstanceSize(0.36, 12));

  private static final OwnerRecord OWNER =
      new OwnerRecord(4, "owner/1", "127.0.0.1", 7000, 0, false, 0);

  private final long seed = new Random().nextLong();
  private final Random random = new Random(seed);
  private final long lastRenewalMs = FAULT_MS - random.nextInt(500);
  private final List<Daemon> daemons = new ArrayList<>();

  /** What the store does to the daemons from the fault on. */
  private enum StoreFault {
    REJECTS_A_THIRD,
    SILENT_FOR_A_WHILE
  }

  /** One daemon, with the timers of the real one. */
  private final class Daemon {
    private final InstanceSize size;
    private final boolean isRejected;
    private final OwnerWatch watch = new OwnerWatch();
    private final long tickPhaseMs = random.nextInt((int) TICK_MS);
    private final long linkLostMs;
    private final long linkBackMs;
    private long readSentMs = -1;
    private long answerMs = -1;
    private long againMs = -1;

    Daemon(InstanceSize size, boolean isRejected) {
      this.size = size;
      this.isRejected = isRejected;
      this.linkLostMs = random.nextInt(4) == 0 ? 1_000 + random.nextInt(2_000) : END_MS;
      this.linkBackMs = linkLostMs + random.nextInt(1_500);
    }

    /** Advances by a millisecond; returns whether the daemon claims now. */
    boolean advance(long nowMs, StoreFault fault, long storeBackMs, boolean isOwnerAlive) {
      if (nowMs == linkLostMs) {
        watch.onLinkClosed();
      }
      boolean isLinked = isOwnerAlive && (nowMs < linkLostMs || nowMs > linkBackMs);
      if (isLinked && nowMs % HEARTBEAT_MS == 0) {
        long renewedMs = Math.min(lastRenewalMs, nowMs - nowMs % OwnerTenure.RENEW_EVERY_MS);
        watch.onHeartbeat(renewedMs / OwnerTenure.RENEW_EVERY_MS, nowMs - renewedMs, nowMs);
      }
      if (readSentMs >= 0 && nowMs >= answerMs) {
        boolean isAnswered = answerMs < readSentMs + OwnerWatch.READ_TIMEOUT_MS;
        readSentMs = -1;
        if (isAnswered && !(isRejected && nowMs > FAULT_MS)) {
          watch.onRead(Optional.of(stored(nowMs)), 10, nowMs);
          againMs = nowMs + NEXT_READ_MS;
          return watch.shouldClaim(nowMs, size.claimDelayMs(List.of(LARGE, size)));
        }
        watch.onReadFailed(nowMs);
      }
      boolean isDue = nowMs % TICK_MS == tickPhaseMs || nowMs == againMs;
      if (isDue && readSentMs < 0 && watch.shouldRead(nowMs)) {
        boolean isSilent =
            fault == StoreFault.SILENT_FOR_A_WHILE && nowMs > FAULT_MS && nowMs < storeBackMs;
        readSentMs = nowMs;
        answerMs = nowMs + (isSilent ? OwnerWatch.READ_TIMEOUT_MS : 4);
      }
      return false;
    }
  }

  private OwnerRecord stored(long nowMs) {
    long number = Math.min(nowMs, lastRenewalMs) / OwnerTenure.RENEW_EVERY_MS;
    return new OwnerRecord(4, OWNER.holder(), OWNER.host(), 7000, number, false, 0);
  }

  /** Returns the daemon whose claim is the first. */
  private Daemon firstClaimant(StoreFault fault, long storeBackMs, long ownerEndMs) {
    for (int i = 0; i < DAEMONS; i++) {
      boolean isRejected = fault == StoreFault.REJECTS_A_THIRD && i >= 3 && i % 3 == 0;
      daemons.add(new Daemon(i < 3 ? LARGE : SMALL.get(i % SMALL.size()), isRejected));
    }
    for (long nowMs = 1; nowMs < END_MS; nowMs++) {
      for (Daemon daemon : daemons) {
        if (nowMs == ownerEndMs) {
          daemon.watch.onOwnerProcessTerminated();
        }
        if (daemon.advance(nowMs, fault, storeBackMs, nowMs < ownerEndMs)) {
          return daemon;
        }
      }
    }
    throw new AssertionError("no daemon claims, seed " + seed);
  }

  /** Guards against reads that wait at a silent store until smaller daemons have claimed. */
  @RepeatedTest(100)
  void shouldPreferLargeInstancesAfterTheStoreWasSilent() {
    Daemon first =
        firstClaimant(StoreFault.SILENT_FOR_A_WHILE, 5_000 + random.nextInt(1_000), 4_500);
    assertThat(first.size).as("seed %d", seed).isEqualTo(LARGE);
  }

  /** Guards against daemons that learn at different times that a claim is due. */
  @RepeatedTest(100)
  void shouldPreferLargeInstancesIfTheStoreRejectsTheOwner() {
    Daemon first = firstClaimant(StoreFault.REJECTS_A_THIRD, 0, END_MS);
    assertThat(first.size).as("seed %d", seed).isEqualTo(LARGE);
  }
}
