package org.laburnumarch.internal.text;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** Which goal takes precedence when goals conflict. */
public enum Weighting {
  /** The work completed during the loss and the return of a data centre takes precedence. */
  DATA_CENTRE_CHANGES(true),

  /** Keeping each team close to its share takes precedence. */
  SHARE_CLOSENESS(false);

  private final boolean reservesBufferPerPool;

  Weighting(boolean reservesBufferPerPool) {
    this.reservesBufferPerPool = reservesBufferPerPool;
  }

  /**
   * Returns whether each pool keeps its own reserve of instances for the loss of a data centre, as
   * far as there are enough instances. Otherwise the reserve stays in the spare pool and its
   * instances are moved when a data centre is lost.
   */
  public boolean reservesDataCentreBufferPerPool() {
    return reservesBufferPerPool;
  }

  /** Returns the value that selects this weighting in the configuration text. */
  public String settingValue() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the weighting that a value selects; empty if there is none. */
  public static Optional<Weighting> ofSettingValue(String settingValue) {
    return Arrays.stream(values())
        .filter(weighting -> weighting.settingValue().equals(settingValue))
        .findFirst();
  }

  /** Returns the values of all weightings, for messages. */
  public static String settingValues() {
    return Arrays.stream(values()).map(Weighting::settingValue).collect(Collectors.joining(", "));
  }
}
