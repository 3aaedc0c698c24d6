package org.laburnumarch.internal.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.IniText;

/** Reads a configuration file. */
final class ConfigFile {

  private ConfigFile() {}

  static Either<Refusal, String> read(String file) {
    try (InputStream content = Files.newInputStream(Path.of(file))) {
      // One byte more than allowed is enough for the parser to refuse the text for its size.
      byte[] bytes = content.readNBytes(IniText.MAX_TEXT_BYTES + 1);
      return Either.right(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException | InvalidPathException e) {
      return Either.left(
          Refusal.of(
              ResultCode.USAGE,
              file + " cannot be read (" + e.getClass().getSimpleName() + "); check its name"));
    }
  }
}
