package org.laburnumarch.internal.emulator;

import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;

/** One subcommand of the emulator. */
@Immutable
interface EmulatorProgram {

  /**
   * Runs the subcommand until it ends.
   *
   * @return the exit status
   */
  int run(String[] args, PrintStream out, PrintStream err) throws Exception;
}
