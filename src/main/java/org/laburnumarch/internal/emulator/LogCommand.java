package org.laburnumarch.internal.emulator;

import com.beust.jcommander.Parameter;
import com.google.errorprone.annotations.Immutable;
import java.io.PrintStream;
import java.net.InetSocketAddress;

/** Runs the log stand-in. */
@Immutable
final class LogCommand implements EmulatorProgram {

  /** Options of this subcommand. */
  static final class Options extends ServeOptions {

    @Parameter(names = "--port", description = "Port; 0 picks a free one")
    private int port;

    @Parameter(names = "--retain-records", description = "Records retained per stream")
    private int retainRecords = 100_000;

    @Parameter(names = "--retain-seconds", description = "Seconds for which records are retained")
    private long retainSeconds = 86_400;
  }

  @Override
  public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
    Options options = new Options();
    options.parse("log", args);
    try (LogStandIn log =
        LogStandIn.start(
            new InetSocketAddress(options.host, options.port),
            options.retainRecords,
            options.retainSeconds * 1_000,
            System::currentTimeMillis)) {
      options.serve(out, Addresses.format(log.address()));
    }
    return 0;
  }
}
