package org.laburnumarch.internal.log;

import java.util.Optional;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.state.RecordCodec;
import org.laburnumarch.internal.state.SnapshotCodec;
import org.laburnumarch.spi.LogPage;
import org.laburnumarch.spi.LogRecord;

/** Looks through the retained part of the log for the newest snapshot that can be used. */
final class StartScan {

  private final SnapshotCodec codec;
  private long firstRetainedOffset;
  private long nextOffset;
  private ControlState newest;

  StartScan(SnapshotCodec codec, long firstRetainedOffset) {
    this.codec = codec;
    this.firstRetainedOffset = firstRetainedOffset;
    this.nextOffset = firstRetainedOffset;
  }

  /** Returns where to read on. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns the oldest offset that a state may have for reading on from it. */
  long firstRetainedOffset() {
    return firstRetainedOffset;
  }

  /** Takes a page and returns the snapshot to start from once the tail is reached. */
  Optional<ControlState> take(LogPage page) {
    firstRetainedOffset = Math.max(firstRetainedOffset, page.firstRetainedOffset());
    nextOffset = Math.max(nextOffset, firstRetainedOffset);
    for (LogRecord record : page.records()) {
      if (record.offset() == nextOffset) {
        nextOffset++;
        consider(record);
      }
    }
    return nextOffset >= page.tailOffset()
            && newest != null
            && newest.nextOffset() >= firstRetainedOffset
        ? Optional.of(newest)
        : Optional.empty();
  }

  private void consider(LogRecord record) {
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
