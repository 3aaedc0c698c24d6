package org.laburnumarch.internal.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/** Reads the operator's token from a file. */
final class TokenFile {

  private static final long MAX_BYTES = 65_536;

  private TokenFile() {}

  /** Returns the token of an operator; if the name is empty, the only token in the file. */
  static Either<Refusal, String> read(String file, String operator) {
    if (file.isEmpty()) {
      return usage("no token is given; add --token-file FILE");
    }
    try {
      Path path = Path.of(file);
      if (Files.size(path) > MAX_BYTES) {
        return usage(file + " is too large for a token file; name another file");
      }
      return choose(file, Files.readAllLines(path), operator);
    } catch (IOException | InvalidPathException e) {
      return usage(file + " cannot be read (" + e.getClass().getSimpleName() + "); check its name");
    }
  }

  private static Either<Refusal, String> choose(String file, List<String> lines, String operator) {
    List<String[]> rows =
        lines.stream()
            .map(String::strip)
            .filter(line -> !line.isEmpty() && !line.startsWith("#"))
            .map(line -> line.split("\\s+", 2))
            .filter(row -> row.length == 1 || operator.isEmpty() || row[0].equals(operator))
            .toList();
    if (rows.size() != 1) {
      return usage(
          rows.isEmpty()
              ? file + " has no token for this operator; check --operator"
              : file + " has several tokens; choose one with --operator NAME");
    }
    String[] row = rows.get(0);
    return Either.right(row[row.length - 1]);
  }

  private static Either<Refusal, String> usage(String message) {
    return Either.left(Refusal.of(ResultCode.USAGE, message));
  }
}
