package org.laburnumarch.internal.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.laburnumarch.Outcome;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.daemon.TestFleet.Node;
import org.laburnumarch.internal.daemon.TestFleet.Response;

/** Callers that each send non-idempotent requests one after another until {@link #end}. */
final class TestLoad implements AutoCloseable {

  /** The id of a request and its response. */
  record Exchange(String id, Response response) {}

  final ConcurrentLinkedQueue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final List<Thread> callers = new ArrayList<>();
  private volatile boolean isEnding;

  TestLoad(TestFleet fleet, int callerCount, String key, Supplier<List<Node>> targets) {
    for (int i = 0; i < callerCount; i++) {
      int caller = i;
      Thread thread =
          new Thread(
              () -> {
                for (int n = caller; !isEnding; n++) {
                  List<Node> nodes = targets.get();
                  String id = fleet.newRequestId();
                  exchanges.add(
                      new Exchange(id, fleet.sendRequest(nodes.get(n % nodes.size()), key, id)));
                }
              },
              "caller");
      thread.setDaemon(true);
      callers.add(thread);
      thread.start();
    }
  }

  /** Returns the number of requests with status 200. */
  long served() {
    return exchanges.stream().filter(exchange -> exchange.response().status() == 200).count();
  }

  long count(ResultCode code) {
    return exchanges.stream().filter(exchange -> exchange.response().is(code)).count();
  }

  /** Returns the requests whose response contradicts whether they ran, and those that ran twice. */
  List<Exchange> contradictions(Map<String, Integer> runs) {
    return exchanges.stream()
        .filter(exchange -> isContradiction(exchange, runs.getOrDefault(exchange.id(), 0)))
        .toList();
  }

  private static boolean isContradiction(Exchange exchange, int runCount) {
    boolean isNotRun =
        java.util.Arrays.stream(ResultCode.values())
            .anyMatch(code -> exchange.response().is(code) && code.outcome() == Outcome.NOT_RUN);
    return runCount > 1
        || (isNotRun && runCount > 0)
        || (exchange.response().status() == 200 && runCount == 0);
  }

  /** Returns the requests without any response. */
  List<Exchange> withoutResponse() {
    return exchanges.stream().filter(exchange -> exchange.response().status() == 0).toList();
  }

  @Override
  public void close() {
    end();
  }

  /** Ends the load and waits for the last responses. */
  void end() {
    isEnding = true;
    for (Thread caller : callers) {
      try {
        caller.join(15_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
