package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;

/** Opens connections to one minion, each on demand and for exclusive use. */
final class MinionClient {
  private final StreamingHttpClient client;

  /**
   * Prepares connections to a minion; none is opened yet.
   *
   * @param address IP address and port
   */
  MinionClient(String address, int connectTimeoutMs) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon).replaceAll("[\\[\\]]", "");
    int port = Integer.parseInt(address.substring(colon + 1));
    client =
        HttpClients.forResolvedAddress(HostAndPort.of(host, port))
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, connectTimeoutMs)
            .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
            .loadBalancerFactory(unsharedConnections(host, port))
            .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
            .buildStreaming();
  }

  /** Opens a connection that is not shared with other callers of this method. */
  Single<MinionConnection> open() {
    return client
        .reserveConnection(client.newRequest(HttpRequestMethod.GET, "/"))
        .map(MinionConnection::new);
  }

  /** Closes all open connections. */
  void close() {
    client.closeAsync().subscribe();
  }

  @SuppressWarnings("deprecation") // No other way to replace the library's load balancer.
  private static HttpLoadBalancerFactory<InetSocketAddress> unsharedConnections(
      String host, int port) {
    return DefaultHttpLoadBalancerFactory.Builder.from(
            new UnsharedConnectionBalancerFactory(new InetSocketAddress(host, port)))
        .build();
  }
}
