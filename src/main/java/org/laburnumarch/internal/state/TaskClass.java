package org.laburnumarch.internal.state;

/** How a task may be interrupted, for example to free memory on its worker. */
public enum TaskClass {
  /** May be stopped at any time, since it can be repeated from the start. */
  EXPENDABLE(0),

  /** Can save its state and continue later. */
  CHECKPOINTABLE(1),

  /** May be slowed down, but not stopped. */
  STEADY(2);

  private final int memoryReliefOrder;

  TaskClass(int memoryReliefOrder) {
    this.memoryReliefOrder = memoryReliefOrder;
  }

  /** Returns the order in which tasks are interrupted; the lowest first. */
  public int memoryReliefOrder() {
    return memoryReliefOrder;
  }

  /**
   * Returns whether it may be stopped on its worker in favour of other work and wait to be started
   * again.
   */
  public boolean isPreemptible() {
    return this != STEADY;
  }
}
