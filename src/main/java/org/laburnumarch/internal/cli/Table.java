package org.laburnumarch.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Formats rows as a table whose columns are as wide as their widest cell. */
final class Table {

  private static final String GAP = "  ";

  private final List<String[]> rows = new ArrayList<>();
  private final int[] widths;

  private Table(String[] header) {
    widths = new int[header.length];
    row(header);
  }

  static Table of(String... header) {
    return new Table(header);
  }

  Table row(String... cells) {
    if (cells.length != widths.length) {
      throw new IllegalArgumentException(
          cells.length + " cells for " + widths.length + " columns; pass one cell per column");
    }
    // Cells contain text from daemons; control characters in it could manipulate the terminal.
    String[] clean =
        Arrays.stream(cells).map(c -> c.replaceAll("\\p{Cntrl}", "?")).toArray(String[]::new);
    for (int i = 0; i < clean.length; i++) {
      widths[i] = Math.max(widths[i], clean[i].length());
    }
    rows.add(clean);
    return this;
  }

  void print(PrintStream out) {
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.length; i++) {
        line.append(row[i]).append(" ".repeat(widths[i] - row[i].length())).append(GAP);
      }
      out.println(line.toString().stripTrailing());
    }
  }
}
