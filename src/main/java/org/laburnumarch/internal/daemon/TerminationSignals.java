package org.laburnumarch.internal.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * Turns the first SIGTERM or SIGINT into a request to stop, and decides what later ones do.
 *
 * <p>A shutdown hook cannot do this: the virtual machine ignores signals while hooks run. The
 * signal classes are accessed by reflection, since the compiler warns about any direct use.
 */
public final class TerminationSignals {

  /** Exit status of a process that was ended by a second signal. */
  static final int FORCED_EXIT_STATUS = 130;

  private TerminationSignals() {}

  /** Returns a future that the first signal completes. The second ends the process at once. */
  public static CompletableFuture<Void> firstSignal() {
    return firstSignal(() -> Runtime.getRuntime().halt(FORCED_EXIT_STATUS)).thenAccept(atNs -> {});
  }

  /**
   * Returns a future that the first signal completes with the {@link System#nanoTime} at which it
   * was received, for a process whose stop is bounded in time. Later SIGTERMs do not cut the stop
   * short; a later SIGINT still ends the process at once.
   */
  public static CompletableFuture<Long> firstSignalOfBoundedStop() {
    return firstSignal(() -> Logger.info("node: event=stop-repeated"));
  }

  private static CompletableFuture<Long> firstSignal(Runnable onRepeatedTermination) {
    CompletableFuture<Long> first = new CompletableFuture<>();
    AtomicBoolean isStopping = new AtomicBoolean();
    try {
      handle("TERM", () -> stop(first, isStopping, onRepeatedTermination));
      handle(
          "INT",
          () -> stop(first, isStopping, () -> Runtime.getRuntime().halt(FORCED_EXIT_STATUS)));
    } catch (ReflectiveOperationException e) {
      Logger.warn(
          "daemon: Cannot install signal handlers; SIGTERM and SIGINT end the process at once.");
    }
    return first;
  }

  private static void stop(
      CompletableFuture<Long> first, AtomicBoolean isStopping, Runnable onRepeated) {
    if (isStopping.getAndSet(true)) {
      onRepeated.run();
    } else {
      first.complete(System.nanoTime());
    }
  }

  /** Runs an action at each SIGHUP, which would otherwise end the process. */
  public static void onHangup(Runnable action) {
    try {
      handle("HUP", action);
    } catch (ReflectiveOperationException e) {
      Logger.warn("daemon: Cannot install a SIGHUP handler; SIGHUP ends the process.");
    }
  }

  private static void handle(String name, Runnable onSignal) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    Object proxy =
        Proxy.newProxyInstance(
            handler.getClassLoader(),
            new Class<?>[] {handler},
            (self, method, arguments) -> {
              if (method.getName().equals("handle")) {
                onSignal.run();
              }
              return null;
            });
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
  }
}
