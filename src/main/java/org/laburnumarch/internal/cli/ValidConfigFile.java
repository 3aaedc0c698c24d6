package org.laburnumarch.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetTextParser;
import org.laburnumarch.internal.text.IniText;
import org.laburnumarch.internal.text.ParsedText;
import org.laburnumarch.internal.text.TextFault;

/**
 * A configuration file without faults.
 *
 * @param text the file's content
 */
record ValidConfigFile(Session session, String text, ParsedText parsed) {

  private static final String JSON_OK =
      "{\"result\":1000,\"name\":\"OK\",\"message\":\"\",\"faults\":[]}";

  /** Reads and checks a file; passes it to {@code next} if it has no faults, or shows them. */
  static ResultCode open(
      Session session, List<String> files, Function<ValidConfigFile, ResultCode> next) {
    return RemoteCommand.singleArgument(files, "FILE")
        .flatMap(ConfigFile::read)
        .fold(
            refusal -> session.show(ClientResponse.of(refusal), body -> {}),
            text ->
                parse(session.context(), files.get(0), text, session.isJson())
                    .fold(
                        code -> code,
                        parsed -> next.apply(new ValidConfigFile(session, text, parsed))));
  }

  /** Checks a text, and prints its faults or that it has none. */
  static ResultCode check(CommandContext context, String file, String text, boolean isJson) {
    Either<ResultCode, ParsedText> parsed = parse(context, file, text, isJson);
    if (parsed.isLeft()) {
      return parsed.getLeft();
    }
    context.out().println(isJson ? JSON_OK : file + ": no faults.");
    return ResultCode.OK;
  }

  private static Either<ResultCode, ParsedText> parse(
      CommandContext context, String file, String text, boolean isJson) {
    Either<Seq<TextFault>, ParsedText> parsed = new FleetTextParser().parse(text);
    return parsed.mapLeft(
        faults -> {
          if (isJson) {
            context.out().println(Faults.toResponse(faults).body());
          } else {
            Faults.print(context.err(), file, faults);
          }
          return faults.head().code();
        });
  }

  /** Returns the changes that the file makes to the configuration in a daemon's response. */
  ConfigDiff diffFrom(JsonNode inForce) {
    return new ConfigDiff(
        IniText.read(inForce.path("text").asText()).sections(), parsed.sections());
  }
}
