package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small helpers for HTTP servers on loopback addresses. */
final class Http {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** Starts a server on a free port of an address. */
  static HttpServer listen(String ip, HttpHandler handler) throws IOException {
    return listen(new InetSocketAddress(ip, 0), handler);
  }

  /** Starts a server on an address. */
  static HttpServer listen(InetSocketAddress address, HttpHandler handler) throws IOException {
    HttpServer server = HttpServer.create(address, 128);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (IOException | RuntimeException e) {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static String text(HttpServer server) {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  static byte[] body(HttpExchange exchange) throws IOException {
    return exchange.getRequestBody().readAllBytes();
  }

  static JsonNode json(byte[] body) throws IOException {
    return JSON.readTree(body);
  }

  static void send(HttpExchange exchange, int status, byte[] body, String type) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static void send(HttpExchange exchange, int status, Object body) throws IOException {
    send(exchange, status, JSON.writeValueAsBytes(body), "application/json");
  }
}
