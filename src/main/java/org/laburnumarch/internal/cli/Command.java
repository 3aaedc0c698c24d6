package org.laburnumarch.internal.cli;

import org.laburnumarch.ResultCode;

/** A command whose options are its annotated fields; each run uses a new instance. */
interface Command {

  /** Runs the command, prints its result and returns the result code. */
  ResultCode run(CommandContext context);

  /** Returns an example of a complete command line, without the name of the program. */
  String example();
}
