package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.validators.PositiveInteger;

/** Options of the commands that submit a change. */
final class ChangeOptions {

  @Parameter(
      names = "--operation-id",
      description = "Repeat a command whose response was lost; it takes effect at most once")
  String operationId = "";

  @Parameter(
      names = "--wait",
      description = "Wait until the change is in force at every daemon that is alive")
  boolean isWaiting;

  @Parameter(
      names = "--wait-seconds",
      validateWith = PositiveInteger.class,
      description = "Maximum time to wait with --wait")
  int waitSeconds = 30;
}
