package org.laburnumarch.internal.text;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.ResultCode;

/** Collects faults, so that all of them are reported at once. */
public final class TextFaults {

  private final List<TextFault> faults = new ArrayList<>();

  /** Adds a fault of one key, or of the whole section if the key is empty. */
  public void add(String section, String key, ResultCode code, String problem, String remedy) {
    faults.add(new TextFault(TextFault.NO_LINE, section, key, code, problem, remedy));
  }

  /** Adds a fault of one line. */
  public void addAtLine(int line, ResultCode code, String problem, String remedy) {
    faults.add(new TextFault(line, "", "", code, problem, remedy));
  }

  /** Returns whether there is no fault so far. */
  public boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Returns the faults in the order in which they were found. */
  public Vector<TextFault> toVector() {
    return Vector.ofAll(faults);
  }
}
