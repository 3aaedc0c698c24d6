package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import org.laburnumarch.Outcome;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Sends the requests of one command to a daemon, prints the responses and returns result codes. */
final class Session {

  private static final int MAX_PORT = 65_535;

  private final OperatorClient client;
  private final CommandContext context;
  private final boolean isJson;

  private Session(OperatorClient client, CommandContext context, boolean isJson) {
    this.client = client;
    this.context = context;
    this.isJson = isJson;
  }

  /** Creates a session from the options, or returns what is wrong with them. */
  static Either<Refusal, Session> open(ConnectionOptions options, CommandContext context) {
    if (options.entries.isEmpty()) {
      return usage("no daemon is given; add --entry HOST:PORT");
    }
    List<InetSocketAddress> entries = new ArrayList<>();
    for (String entry : options.entries) {
      int colon = entry.lastIndexOf(':');
      String port = entry.substring(colon + 1);
      if (colon < 1 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > MAX_PORT) {
        return usage("--entry " + entry + " is not HOST:PORT; write it as 127.0.0.1:8080");
      }
      String host = entry.substring(0, colon).replaceAll("[\\[\\]]", "");
      InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(port));
      if (address.isUnresolved()) {
        return usage("--entry " + entry + " names an unknown host; give its IP address");
      }
      entries.add(address);
    }
    return TokenFile.read(options.tokenFile, options.operator)
        .map(token -> new OperatorClient(entries, token, options.timeoutMs))
        .map(client -> new Session(client, context, options.isJson));
  }

  private static Either<Refusal, Session> usage(String message) {
    return Either.left(Refusal.of(ResultCode.USAGE, message));
  }

  PrintStream out() {
    return context.out();
  }

  boolean isJson() {
    return isJson;
  }

  CommandContext context() {
    return context;
  }

  ClientResponse get(String path) {
    return client.get(path);
  }

  /** Sends a query that needs a body; it changes nothing. */
  ClientResponse postQuery(String path, ObjectNode body) {
    return client.post(path, body);
  }

  /** Sends a query and shows the response; {@code printText} prints it unless JSON is selected. */
  ResultCode getAndShow(String path, Consumer<JsonNode> printText) {
    return show(client.get(path), printText);
  }

  /** Shows a response as JSON, with {@code printText}, or as a refusal; returns its code. */
  ResultCode show(ClientResponse response, Consumer<JsonNode> printText) {
    if (isJson) {
      context.out().println(response.body());
    } else if (response.code() == ResultCode.OK) {
      printText.accept(response.body());
    } else {
      Faults.print(context.err(), response);
    }
    return response.code();
  }

  /** Refuses a command without --yes, and shows what it would do. */
  ResultCode refuseUnconfirmed(String effect) {
    Refusal refusal =
        Refusal.of(
            ResultCode.CONFIRMATION_MISSING,
            "this would " + effect + ". Nothing was changed; add --yes to do it");
    return show(ClientResponse.of(refusal), body -> {});
  }

  /**
   * Submits a change and shows the response. With --wait, also waits until all daemons that are
   * alive have applied the change.
   */
  ResultCode submitChange(
      String path, ObjectNode body, ChangeOptions options, Consumer<JsonNode> printText) {
    String operationId =
        options.operationId.isEmpty() ? UUID.randomUUID().toString() : options.operationId;
    body.put("operationId", operationId);
    ClientResponse response = withOperationId(client.post(path, body), operationId);
    ResultCode code = show(response, printText);
    if (code.outcome() == Outcome.UNKNOWN) {
      context.err().println("To repeat the same change safely, add --operation-id " + operationId);
    }
    boolean isWaitNeeded = options.isWaiting && response.body().has("offset") && response.isDone();
    return isWaitNeeded ? waitUntilApplied(response, options, code) : code;
  }

  private static ClientResponse withOperationId(ClientResponse response, String operationId) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    if (response.body() instanceof ObjectNode object) {
      body.setAll(object);
    }
    body.put("operationId", operationId);
    return new ClientResponse(response.code(), response.message(), body);
  }

  private ResultCode waitUntilApplied(
      ClientResponse response, ChangeOptions options, ResultCode code) {
    PropagationWait wait = new PropagationWait(client, context, options.waitSeconds);
    boolean isAppliedEverywhere = wait.untilApplied(response.body().path("offset").asLong());
    return isAppliedEverywhere ? code : ResultCode.WAIT_EXPIRED;
  }
}
