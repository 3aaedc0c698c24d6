package org.laburnumarch.internal.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.InvalidPathException;
import java.util.Optional;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.SectionReader;

/** Reads the fleet secret from the file or environment variable that the settings name. */
final class FleetSecretReader {

  private static final String FILE_KEY = "fleet-secret-file";
  private static final String ENVIRONMENT_KEY = "fleet-secret-env";

  private final SectionReader reader;
  private final SecretSource source;

  FleetSecretReader(SectionReader reader, SecretSource source) {
    this.reader = reader;
    this.source = source;
  }

  FleetSecret read() {
    Optional<String> file = reader.optional(FILE_KEY);
    Optional<String> variable = reader.optional(ENVIRONMENT_KEY);
    if (file.isPresent() == variable.isPresent()) {
      reader.fault(
          FILE_KEY,
          file.isPresent() ? ResultCode.DUPLICATE_NAME : ResultCode.MISSING_SETTING,
          "exactly one of " + FILE_KEY + " and " + ENVIRONMENT_KEY + " is needed",
          "name the file or the environment variable that holds the secret, not both");
      return new FleetSecret(new byte[0]);
    }
    return file.map(this::fromFile).orElseGet(() -> fromEnvironment(variable.orElseThrow()));
  }

  private FleetSecret fromFile(String path) {
    try {
      String content = new String(source.readFile(path), StandardCharsets.ISO_8859_1);
      return checked(FILE_KEY, content.strip().getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException | InvalidPathException e) {
      reader.fault(
          FILE_KEY,
          ResultCode.MISSING_SETTING,
          "the file " + path + " cannot be read (" + e.getClass().getSimpleName() + ")",
          "name a file that this process may read");
      return new FleetSecret(new byte[0]);
    }
  }

  private FleetSecret fromEnvironment(String name) {
    Optional<String> value = source.environment(name);
    if (value.isEmpty()) {
      reader.fault(
          ENVIRONMENT_KEY,
          ResultCode.MISSING_SETTING,
          "the environment variable " + name + " is not set",
          "set it before the daemon starts");
      return new FleetSecret(new byte[0]);
    }
    return checked(ENVIRONMENT_KEY, value.get().strip().getBytes(StandardCharsets.UTF_8));
  }

  private FleetSecret checked(String key, byte[] secret) {
    if (secret.length < FleetSecret.MIN_BYTES) {
      reader.fault(
          key,
          ResultCode.VALUE_OUT_OF_RANGE,
          "the secret has fewer than " + FleetSecret.MIN_BYTES + " bytes",
          "use 32 random bytes, for instance as 64 hexadecimal digits");
    }
    return new FleetSecret(secret);
  }
}
