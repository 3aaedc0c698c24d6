package org.laburnumarch.internal.cli;

/** A clock that advances only by sleeping, which returns immediately. */
final class VirtualClock implements CommandContext.Clock {

  private long nowMs;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public void sleepMs(long durationMs) {
    nowMs += durationMs;
  }
}
