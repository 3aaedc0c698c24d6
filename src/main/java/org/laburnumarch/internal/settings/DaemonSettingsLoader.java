package org.laburnumarch.internal.settings;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.IniText;
import org.laburnumarch.internal.text.TextFault;
import org.laburnumarch.internal.text.TextFaults;

/** Loads the settings of a daemon and reports all faults at once. */
public final class DaemonSettingsLoader {

  private final SecretSource secrets;

  /** Creates a loader that reads secrets from the given source. */
  public DaemonSettingsLoader(SecretSource secrets) {
    this.secrets = secrets;
  }

  /** Returns the settings in a file, or all of its faults sorted by line. */
  public Either<Seq<TextFault>, DaemonSettings> load(Path file) {
    try (InputStream content = Files.newInputStream(file)) {
      // One byte more than allowed shows that the file is too large without reading all of it.
      byte[] bytes = content.readNBytes(IniText.MAX_TEXT_BYTES + 1);
      return parse(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      TextFaults faults = new TextFaults();
      faults.add(
          "",
          "",
          ResultCode.MISSING_SETTING,
          "the settings file " + file + " cannot be read (" + e.getClass().getSimpleName() + ")",
          "specify a readable file");
      return Either.left(faults.toVector());
    }
  }

  /** Returns the settings in a text, or all of its faults sorted by line. */
  public Either<Seq<TextFault>, DaemonSettings> parse(String text) {
    IniText ini = IniText.read(text);
    if (ini.isTooLarge()) {
      return Either.left(ini.faults());
    }
    TextFaults faults = new TextFaults();
    DaemonSettings settings = new DaemonSettingsReader(ini.sections(), secrets, faults).read();
    Vector<TextFault> all = ini.faults().appendAll(ini.withLines(faults.toVector()));
    return all.isEmpty()
        ? Either.right(settings)
        : Either.left(all.sorted(Comparator.comparingInt(TextFault::line)));
  }
}
