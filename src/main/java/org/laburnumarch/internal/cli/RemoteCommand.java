package org.laburnumarch.internal.cli;

import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** A command that sends requests to a daemon. */
abstract class RemoteCommand implements Command {

  static final String CONNECTION_EXAMPLE =
      " --entry 127.0.0.1:8080 --token-file ~/.laburnumarch-token";

  @ParametersDelegate final ConnectionOptions connectionOptions = new ConnectionOptions();

  @Override
  public final ResultCode run(CommandContext context) {
    Either<Refusal, Session> session = Session.open(connectionOptions, context);
    return session.fold(refusal -> refuseInSelectedFormat(context, refusal), this::run);
  }

  private ResultCode refuseInSelectedFormat(CommandContext context, Refusal refusal) {
    if (connectionOptions.isJson) {
      context.out().println(ClientResponse.of(refusal).body());
      return refusal.code();
    }
    return refuse(context, refusal);
  }

  /** Runs the command in an open session. */
  abstract ResultCode run(Session session);

  static ResultCode refuse(CommandContext context, Refusal refusal) {
    Faults.print(context.err(), ClientResponse.of(refusal));
    return refusal.code();
  }

  static ObjectNode newBody() {
    return JsonNodeFactory.instance.objectNode();
  }

  static String encoded(String value) {
    return URLEncoder.encode(value, StandardCharsets.UTF_8);
  }

  /** Returns the only argument of a command, or a refusal if there is not exactly one. */
  static Either<Refusal, String> singleArgument(List<String> arguments, String argumentName) {
    return arguments.size() == 1
        ? Either.right(arguments.get(0))
        : Either.left(
            Refusal.of(
                ResultCode.USAGE,
                "exactly one " + argumentName + " is needed, but there are " + arguments.size()));
  }
}
