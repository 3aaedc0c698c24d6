package org.laburnumarch.spi;

import java.util.concurrent.CompletionStage;

/**
 * Drains and reboots instances through the platform; stages fail with {@link PlatformException}.
 */
public interface PoolControl {

  /** Asks an instance to finish its current work and accept no new work. */
  CompletionStage<Void> drain(String instance);

  /** Reboots a drained instance. */
  CompletionStage<Void> reboot(String instance);

  /** Fetches the status of an instance from the platform. */
  CompletionStage<Status> status(String instance);

  /** The maintenance status of an instance. */
  enum Status {
    SERVING,
    DRAINING,
    DRAINED,
    REBOOTING,
    FAILED
  }
}
