package org.laburnumarch.internal.platform;

/** Thrown when a message from the platform or a caller does not have the expected format. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose text names the fault in the message. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
