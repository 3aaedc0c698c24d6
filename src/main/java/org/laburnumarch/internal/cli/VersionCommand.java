package org.laburnumarch.internal.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import org.laburnumarch.ResultCode;

/** Prints the version that Maven wrote into the jar. */
@Parameters(commandDescription = "Print the version of this program")
final class VersionCommand implements Command {

  private static final String PROPERTIES =
      "/META-INF/maven/org.laburnumarch/laburnumarch/pom.properties";

  @Override
  public ResultCode run(CommandContext context) {
    context.out().println("laburnumarch " + version());
    return ResultCode.OK;
  }

  private static String version() {
    Properties properties = new Properties();
    try (InputStream file = VersionCommand.class.getResourceAsStream(PROPERTIES)) {
      if (file != null) {
        properties.load(file);
      }
    } catch (IOException e) {
      return "(unknown version: build properties not readable)";
    }
    return properties.getProperty("version", "(unknown version: not run from the jar)");
  }

  @Override
  public String example() {
    return "version";
  }
}
