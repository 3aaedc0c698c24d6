package org.laburnumarch.internal.fleet;

/** Purposes that capacity is needed for, the most urgent first. */
public enum CapacityLevel {
  /** The availability budget holds now. */
  BUDGET(0, true),

  /** The ordinary load is served now. */
  ORDINARY_LOAD(1, true),

  /** The ordinary load is served after the loss of any one instance or rack. */
  RACK_LOSS(2, false),

  /** After the loss of any data centre, the spare pool can replace what the pools have lost. */
  SHARED_BUFFER(3, false),

  /** After the loss of any data centre, every pool serves its ordinary load without a move. */
  OWN_BUFFER(4, false);

  private final int index;
  private final boolean urgent;

  CapacityLevel(int index, boolean urgent) {
    this.index = index;
    this.urgent = urgent;
  }

  /** Returns whether a shortfall at this level affects work now, not only after a further loss. */
  public boolean isUrgent() {
    return urgent;
  }

  /** Returns the position in the order of urgency, from 0. */
  int index() {
    return index;
  }
}
