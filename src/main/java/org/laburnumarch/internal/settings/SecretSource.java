package org.laburnumarch.internal.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the files and environment variables that hold secrets. */
public interface SecretSource {

  /** Maximum number of bytes that are read from a file. */
  int MAX_BYTES = 4_096;

  /** Returns the content of a file, truncated to {@link #MAX_BYTES}. */
  byte[] readFile(String path) throws IOException;

  /** Returns the value of an environment variable; empty if it is not set. */
  Optional<String> environment(String name);

  /** Returns a source that reads files and the environment of this process. */
  static SecretSource ofProcess() {
    return new SecretSource() {
      @Override
      public byte[] readFile(String path) throws IOException {
        try (InputStream file = Files.newInputStream(Path.of(path))) {
          return file.readNBytes(MAX_BYTES);
        }
      }

      @Override
      public Optional<String> environment(String name) {
        return Optional.ofNullable(System.getenv(name));
      }
    };
  }
}
