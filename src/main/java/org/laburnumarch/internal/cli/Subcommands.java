package org.laburnumarch.internal.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** The registered commands by name. */
public final class Subcommands {

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** A command with its description in the list of commands. */
  record Entry(String description, Subcommand subcommand) {}

  /** Returns the operators' commands. */
  public static Subcommands operatorCommands() {
    return operatorCommands(CommandContext.Clock.ofCallingThread());
  }

  /** Returns the operators' commands with another clock, for tests. */
  static Subcommands operatorCommands(CommandContext.Clock clock) {
    return new Subcommands()
        .add("config check", ConfigCommands.Check::new, clock)
        .add("config diff", ConfigCommands.Diff::new, clock)
        .add("config apply", ConfigApply::new, clock)
        .add("config show", ConfigCommands.Show::new, clock)
        .add("config history", ConfigCommands.History::new, clock)
        .add("key grant", KeyCommands.Grant::new, clock)
        .add("key revoke", KeyCommands.Revoke::new, clock)
        .add("key list", KeyCommands.Listing::new, clock)
        .add("datacentre out", DataCentreCommands.Out::new, clock)
        .add("datacentre in", DataCentreCommands.In::new, clock)
        .add("datacentre list", DataCentreCommands.Listing::new, clock)
        .add("maintenance start", MaintenanceCommands.Start::new, clock)
        .add("maintenance pause", MaintenanceCommands.Pause::new, clock)
        .add("maintenance status", MaintenanceCommands.Status::new, clock)
        .add("status", FleetCommands.Status::new, clock)
        .add("audit", FleetCommands.Audit::new, clock)
        .add("version", VersionCommand::new, clock);
  }

  private Subcommands add(String name, Supplier<Command> command, CommandContext.Clock clock) {
    JCommanderSubcommand subcommand = new JCommanderSubcommand(name, command, clock);
    return register(name, subcommand.description(), subcommand);
  }

  /**
   * Adds a command, or replaces the one with the same name.
   *
   * @param name one word, or two for a command in a group
   * @param description one line for the list of commands
   */
  public Subcommands register(String name, String description, Subcommand subcommand) {
    entries.put(name, new Entry(description, subcommand));
    return this;
  }

  /** Returns the command with exactly this name. */
  Optional<Entry> find(String name) {
    return Optional.ofNullable(entries.get(name));
  }

  Map<String, Entry> all() {
    return new LinkedHashMap<>(entries);
  }
}
