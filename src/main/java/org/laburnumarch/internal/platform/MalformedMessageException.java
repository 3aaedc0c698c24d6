package org.laburnumarch.internal.platform;

/** A message of the platform or of a caller does not have the form that was agreed. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception that says what is wrong with the message. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
