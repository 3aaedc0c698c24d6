package org.laburnumarch.internal.experiment;

/** Generates configuration texts of any size. */
final class ScaleText {
  private static final int DATA_CENTRES = 12;

  private ScaleText() {}

  static String of(int pools, int teams) {
    StringBuilder text = new StringBuilder();
    text.append("[fleet]\nname = scale\nweighting = data-centre-changes\nspare-pool = spare\n")
        .append("max-seats = 12\n[maintenance]\nenabled = yes\ninterval-days = 21\n");
    for (int i = 0; i < DATA_CENTRES; i++) {
      text.append("[data-centre d%d]\nregion = r%d\n".formatted(i, i % 4));
    }
    text.append(pool("spare"));
    for (int i = 1; i < pools; i++) {
      text.append(pool("p%03d".formatted(i)));
      text.append("[queue q%03d]\nopen-to-all = no\nmax-queued-per-team = 100\n".formatted(i));
      text.append(
          "[service s%03d]\npool = p%03d\nqueue = q%03d\nmin-available = 3\nneeded = 4\n"
              .formatted(i, i, i));
      if (i % 3 == 0) {
        text.append("depends-on = s%03d\n".formatted(i - 1));
      }
    }
    for (int i = 0; i < teams; i++) {
      text.append(
          "[team t%03d]\nshare = %.4f\nupper-limit = 50\nurgent = no\n".formatted(i, 0.9 / teams));
    }
    return text.toString();
  }

  private static String pool(String name) {
    return "[pool %s]\nslots-per-minion = 8\nconnections-per-minion = 64\n".formatted(name);
  }
}
