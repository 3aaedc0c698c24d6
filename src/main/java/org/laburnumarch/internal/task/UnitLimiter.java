package org.laburnumarch.internal.task;

/**
 * Limits what teams run on this daemon to the units of their upper limits that the daemon holds.
 */
public interface UnitLimiter {

  /** Acquires one unit; returns false if none is free. */
  boolean tryAcquire(String team);

  /** Releases one unit. */
  void release(String team);

  /**
   * Counts one unit as used without a check, for a running task taken over from a departed member.
   */
  void adopt(String team);
}
