package org.laburnumarch.internal.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Option;
import java.io.PrintStream;
import java.nio.file.Path;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.settings.DaemonSettings;
import org.laburnumarch.internal.settings.DaemonSettingsLoader;
import org.laburnumarch.internal.settings.SecretSource;

/** The arguments of the subcommand {@code daemon}. */
final class DaemonArguments {

  @Parameter(
      names = "--settings",
      description = "INI file with the settings of this daemon",
      required = true)
  private String settingsFile = "";

  @Parameter(names = "--help", description = "Show this help", help = true)
  private boolean isHelp;

  private DaemonArguments() {}

  /**
   * Loads the settings file that the arguments name. On a usage or settings error, prints it to
   * {@code err} and returns none; also prints the help there.
   */
  static Option<DaemonSettings> load(String[] args, PrintStream err) {
    DaemonArguments arguments = new DaemonArguments();
    JCommander parser =
        JCommander.newBuilder()
            .programName("laburnumarch daemon")
            .addObject(arguments)
            .expandAtSign(false)
            .build();
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      err.println(
          ResultCode.USAGE.number()
              + " USAGE: "
              + e.getMessage()
              + "; for example: laburnumarch daemon --settings examples/daemon.ini");
      return Option.none();
    }
    if (arguments.isHelp) {
      StringBuilder usage = new StringBuilder();
      parser.getUsageFormatter().usage(usage);
      err.print(usage);
      return Option.none();
    }
    return read(arguments.settingsFile, err);
  }

  private static Option<DaemonSettings> read(String file, PrintStream err) {
    return new DaemonSettingsLoader(SecretSource.ofProcess())
        .load(Path.of(file))
        .peekLeft(faults -> faults.forEach(fault -> err.println(file + ": " + fault.describe())))
        .toOption();
  }
}
