package org.laburnumarch.internal.log;

import java.util.Optional;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;

/** Searches the retained part of the log for the newest valid snapshot. */
final class SnapshotScan {

  private final SnapshotCodec codec;
  private long firstRetainedOffset;
  private long nextOffset;
  private ControlState newest;

  SnapshotScan(SnapshotCodec codec, long firstRetainedOffset) {
    this.codec = codec;
    this.firstRetainedOffset = firstRetainedOffset;
    this.nextOffset = firstRetainedOffset;
  }

  /** Returns the offset of the next read. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns the lowest next offset of a state from which the log can still be followed. */
  long firstRetainedOffset() {
    return firstRetainedOffset;
  }

  /** Scans a page and returns the newest snapshot once the tail is reached; empty until then. */
  Optional<ControlState> scanPage(LogPage page) {
    firstRetainedOffset = Math.max(firstRetainedOffset, page.firstRetainedOffset());
    nextOffset = Math.max(nextOffset, firstRetainedOffset);
    for (LogRecord record : page.records()) {
      if (record.offset() == nextOffset) {
        nextOffset++;
        considerSnapshot(record);
      }
    }
    return nextOffset >= page.tailOffset()
            && newest != null
            && newest.nextOffset() >= firstRetainedOffset
        ? Optional.of(newest)
        : Optional.empty();
  }

  private void considerSnapshot(LogRecord record) {
    var envelope = RecordCodec.decode(record.data());
    if (envelope.isRight() && envelope.get().body() instanceof RecordBody.SnapshotTaken taken) {
      if (taken.throughOffset() >= record.offset()) {
        return;
      }
      codec
          .decode(taken.state())
          .filter(state -> state.nextOffset() == taken.throughOffset() + 1)
          .forEach(
              state ->
                  state.peek(
                      found -> {
                        if (newest == null || found.nextOffset() > newest.nextOffset()) {
                          newest = found;
                        }
                      }));
    }
  }
}
