package org.laburnumarch.internal.task;

/**
 * Limits the running tasks of each team to those units of its upper limit that this daemon holds.
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
