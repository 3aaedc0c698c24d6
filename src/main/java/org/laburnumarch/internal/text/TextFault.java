package org.laburnumarch.internal.text;

import java.util.Objects;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * One fault of a configuration text or a settings file.
 *
 * @param line line number from 1, or {@link #NO_LINE}
 * @param section section without brackets; empty if the fault concerns the whole text
 * @param key key in the section; empty if the fault concerns the whole section
 * @param problem what is wrong, without a full stop
 * @param remedy how to fix it, without a full stop
 */
public record TextFault(
    int line, String section, String key, ResultCode code, String problem, String remedy) {

  /** Line number of a fault that has no line, such as a missing section. */
  public static final int NO_LINE = 0;

  public TextFault {
    Objects.requireNonNull(code, "code");
  }

  /** Returns the same fault with another line number. */
  public TextFault atLine(int newLine) {
    return new TextFault(newLine, section, key, code, problem, remedy);
  }

  /** Returns section, key, problem and remedy as a text, without line number and code. */
  public String message() {
    return location() + problem + ". Mend: " + remedy + ".";
  }

  /** Returns the fault with line number and code, for display. */
  public String describe() {
    String linePrefix = line == NO_LINE ? "" : "line " + line + ": ";
    return linePrefix + code.number() + " " + code + ": " + message();
  }

  /** Returns the fault as a refusal that is not retryable. */
  public Refusal toRefusal() {
    return Refusal.of(code, message());
  }

  private String location() {
    if (section.isEmpty()) {
      return "";
    }
    return "[" + section + "] " + (key.isEmpty() ? "" : key + ": ");
  }
}
