package org.laburnumarch.spi;

/** A call to the platform failed. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  private PlatformException(String message, boolean mayHaveTakenEffect, Throwable cause) {
    super(message, cause);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns an exception for a call that certainly had no effect. */
  public static PlatformException withoutEffect(String message, Throwable cause) {
    return new PlatformException(message, false, cause);
  }

  /** Returns an exception for a call whose effect is unknown. */
  public static PlatformException withUnknownEffect(String message, Throwable cause) {
    return new PlatformException(message, true, cause);
  }

  /** Returns whether the call may have taken effect in spite of this failure. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
