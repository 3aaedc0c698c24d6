package org.laburnumarch.internal.http;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;

/** Starts HTTP servers whose sockets and services run on the thread of an event loop. */
public final class EventLoopHttpServers {

  private EventLoopHttpServers() {}

  /**
   * Starts a server and waits until its address is bound. Must not be called on the event loop's
   * thread.
   *
   * @throws Exception if the address cannot be bound
   */
  public static HttpServerContext listen(
      InetSocketAddress address, EventLoopThread loop, HttpService service) throws Exception {
    return HttpServers.forAddress(address)
        .ioExecutor(loop.ioExecutor())
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .listen(service)
        .toFuture()
        .get();
  }
}
