package org.laburnumarch.internal.entry;

import io.servicetalk.client.api.ConnectionFactory;
import io.servicetalk.client.api.LoadBalancer;
import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.client.api.ServiceDiscovererEvent;
import io.servicetalk.concurrent.api.AsyncCloseables;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.ListenableAsyncCloseable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.Predicate;

/**
 * Replaces the library's load balancer by one that opens a new connection for each selection.
 *
 * <p>The library's own balancers share connections between requests and reconnect in the background
 * to failed hosts, which would keep the entry from counting its connections.
 */
final class UnsharedConnectionBalancerFactory
    implements LoadBalancerFactory<
        InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> {
  private final InetSocketAddress address;

  UnsharedConnectionBalancerFactory(InetSocketAddress address) {
    this.address = address;
  }

  @Override
  @SuppressWarnings("deprecation") // The library still calls this method.
  public <T extends FilterableStreamingHttpLoadBalancedConnection> LoadBalancer<T> newLoadBalancer(
      String targetResource,
      Publisher<? extends Collection<? extends ServiceDiscovererEvent<InetSocketAddress>>> events,
      ConnectionFactory<InetSocketAddress, T> connections) {
    return new UnsharedConnectionBalancer<>(address, connections);
  }

  private static final class UnsharedConnectionBalancer<
          T extends FilterableStreamingHttpLoadBalancedConnection>
      implements LoadBalancer<T> {
    private final InetSocketAddress address;
    private final ConnectionFactory<InetSocketAddress, T> connections;
    private final ListenableAsyncCloseable closeable;

    UnsharedConnectionBalancer(
        InetSocketAddress address, ConnectionFactory<InetSocketAddress, T> connections) {
      this.address = address;
      this.connections = connections;
      this.closeable = AsyncCloseables.toListenableAsyncCloseable(connections);
    }

    @Override
    public Single<T> selectConnection(Predicate<T> selector, ContextMap context) {
      return connections
          .newConnection(address, context, null)
          .flatMap(
              connection ->
                  selector.test(connection)
                      ? Single.succeeded(connection)
                      : connection.closeAsync().concat(Single.failed(closedAtOnce())));
    }

    private static IOException closedAtOnce() {
      return new IOException("the connection was closed as soon as it was open");
    }

    @Override
    public Publisher<Object> eventStream() {
      return Publisher.never();
    }

    @Override
    public Completable onClose() {
      return closeable.onClose();
    }

    @Override
    public Completable closeAsync() {
      return closeable.closeAsync();
    }
  }
}
