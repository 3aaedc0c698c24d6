package org.laburnumarch.spi;

import java.util.concurrent.CompletionStage;

/**
 * The platform's means to drain and reboot instances; stages fail with {@link PlatformException}.
 */
public interface PoolControl {

  /** Asks an instance to finish its work and take no more. */
  CompletionStage<Void> drain(String instance);

  /** Reboots a drained instance. */
  CompletionStage<Void> reboot(String instance);

  /** Fetches what the platform knows of an instance. */
  CompletionStage<Status> status(String instance);

  /** State of an instance under maintenance. */
  enum Status {
    SERVING,
    DRAINING,
    DRAINED,
    REBOOTING,
    FAILED
  }
}
