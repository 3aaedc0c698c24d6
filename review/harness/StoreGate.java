import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.ExecutorService;

/** Forwards calls to the store, except those for a topic whose partition is down. */
final class StoreGate {

  private final HttpServer server;
  private final HttpClient client;
  private final InetSocketAddress store;
  private volatile String topicDown = "";

  StoreGate(int port, InetSocketAddress store, ExecutorService threads) throws IOException {
    this.store = store;
    this.client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(threads).build();
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 128);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Answers all calls for a topic with 503; none if it is empty. */
  void setDown(String topic) {
    topicDown = topic;
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String query = exchange.getRequestURI().getRawQuery();
    if (!topicDown.isEmpty() && query.contains("topic=" + topicDown)) {
      exchange.sendResponseHeaders(503, -1);
      exchange.close();
      return;
    }
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:" + store.getPort() + exchange.getRequestURI().toString()))
            .method(exchange.getRequestMethod(), BodyPublishers.ofByteArray(body))
            .build();
    try {
      HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
      byte[] answer = response.body();
      exchange.sendResponseHeaders(response.statusCode(), answer.length == 0 ? -1 : answer.length);
      exchange.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  void close() {
    server.stop(0);
  }
}
