package org.laburnumarch.internal.peer;

/** Thrown for a frame that does not follow the format. */
final class MalformedFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception without a stack trace, so that malformed input costs little. */
  MalformedFrameException(String message) {
    super(message, null, false, false);
  }
}
