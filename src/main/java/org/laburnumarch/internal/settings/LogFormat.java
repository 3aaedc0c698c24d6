package org.laburnumarch.internal.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Format of the daemon's log lines. */
public enum LogFormat {
  /** Plain text. */
  PLAIN,

  /** One JSON object per line. */
  JSON;

  /** Returns the value that selects this format in the settings. */
  public String settingValue() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Optional<LogFormat> ofSettingValue(String settingValue) {
    return Arrays.stream(values())
        .filter(format -> format.settingValue().equals(settingValue))
        .findFirst();
  }
}
