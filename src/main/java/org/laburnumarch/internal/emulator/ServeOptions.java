package org.laburnumarch.internal.emulator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Options of all stand-ins. */
class ServeOptions {

  /** Where to listen. */
  @Parameter(names = "--host", description = "IP address to listen on")
  String host = "127.0.0.1";

  /** Lifetime, so that a forgotten stand-in ends by itself. */
  @Parameter(names = "--seconds", description = "Lifetime in seconds")
  long lifetimeSeconds = 3_600;

  /** Seed of all randomness. */
  @Parameter(names = "--seed", description = "Seed of the random numbers")
  long seed = 1;

  /** Parses the arguments into this object. */
  void parse(String name, String[] args) {
    JCommander.newBuilder().programName("emulator " + name).addObject(this).build().parse(args);
  }

  /** Prints the address and blocks until the lifetime has passed. */
  void serve(PrintStream out, String listening) throws InterruptedException {
    out.println("{\"listening\":\"" + listening + "\"}");
    out.flush();
    boolean ended = new CountDownLatch(1).await(lifetimeSeconds, TimeUnit.SECONDS);
    if (!ended) {
      out.println("{\"ended\":\"after " + lifetimeSeconds + " s\"}");
    }
  }
}
