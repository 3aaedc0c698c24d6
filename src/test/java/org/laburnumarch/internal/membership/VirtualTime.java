package org.laburnumarch.internal.membership;

import java.util.PriorityQueue;

/** Virtual clock that runs events in time order; events at the same time run in insertion order. */
final class VirtualTime {
  private record Event(long atMs, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() == b.atMs()
                  ? Long.compare(a.number(), b.number())
                  : Long.compare(a.atMs(), b.atMs()));
  private long nowMs;
  private long count;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, count++, action));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }
}
