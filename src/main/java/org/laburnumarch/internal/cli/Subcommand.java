package org.laburnumarch.internal.cli;

import java.io.PrintStream;

/** A command of the program, which is found by its name and gets the arguments after it. */
@FunctionalInterface
public interface Subcommand {

  /**
   * Runs the command and returns when it has ended.
   *
   * @param args arguments after the name of the command
   * @return the exit status, see {@link org.laburnumarch.Outcome#exitStatus()}
   */
  int run(String[] args, PrintStream out, PrintStream err);
}
