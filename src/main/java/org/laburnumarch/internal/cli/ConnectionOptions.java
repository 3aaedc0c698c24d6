package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.validators.PositiveInteger;
import java.util.ArrayList;
import java.util.List;

/** Options of the commands that send requests to a daemon. */
final class ConnectionOptions {

  @Parameter(
      names = "--entry",
      description = "Address of a daemon as host:port; repeat the option to try further ones")
  List<String> entries = new ArrayList<>();

  @Parameter(
      names = "--token-file",
      description = "File with your token, or with lines of the form NAME TOKEN")
  String tokenFile = "";

  @Parameter(
      names = "--operator",
      description = "Which NAME of the token file to use, if it has several")
  String operator = "";

  @Parameter(names = "--json", description = "Print one JSON object instead of text")
  boolean isJson;

  @Parameter(
      names = "--timeout-ms",
      validateWith = PositiveInteger.class,
      description = "Maximum time to wait for one response")
  int timeoutMs = 15_000;
}
