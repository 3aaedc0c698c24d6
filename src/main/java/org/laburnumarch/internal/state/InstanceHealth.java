package org.laburnumarch.internal.state;

/** Whether an instance counts as available. */
public enum InstanceHealth {
  AVAILABLE(true),

  /**
   * Out of use for maintenance, from the record that starts it until the instance is reported
   * healthy.
   */
  IN_MAINTENANCE(false),

  /** Its maintenance ended without success. */
  FAILED(false);

  private final boolean available;

  InstanceHealth(boolean available) {
    this.available = available;
  }

  /** Returns whether the instance counts for an availability budget. */
  public boolean isAvailable() {
    return available;
  }
}
