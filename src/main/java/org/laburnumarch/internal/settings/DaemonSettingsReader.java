package org.laburnumarch.internal.settings;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.SectionReader;
import org.laburnumarch.internal.text.TextFaults;
import org.laburnumarch.internal.text.TextSections;

/**
 * Converts sections of the settings file to settings and reports all faults. A faulty value is
 * replaced by a fallback, so that the remaining settings can be checked too.
 */
final class DaemonSettingsReader {

  private static final List<String> SECTIONS =
      List.of(
          "daemon",
          "listen",
          "peers",
          "platform",
          "secrets",
          "operators",
          "queues",
          "shutdown",
          "logging");
  private static final List<String> OPTIONAL_SECTIONS = List.of("queues", "shutdown", "logging");
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final HostPort UNSET_ADDRESS = new HostPort("0.0.0.0", -1);

  private final SortedMap<String, SortedMap<String, String>> sections;
  private final SecretSource secrets;
  private final TextFaults faults;
  private final Map<String, SectionReader> readers = new HashMap<>();

  DaemonSettingsReader(TextSections sections, SecretSource secrets, TextFaults faults) {
    this.sections = sections.sections();
    this.secrets = secrets;
    this.faults = faults;
  }

  DaemonSettings read() {
    checkSections();
    SECTIONS.forEach(name -> readers.put(name, readerOf(name)));
    DaemonSettings settings = readSettings();
    readers.values().forEach(SectionReader::refuseUnknownKeys);
    return settings;
  }

  private void checkSections() {
    for (String section : sections.keySet()) {
      if (!SECTIONS.contains(section)) {
        faults.add(
            section,
            "",
            ResultCode.UNKNOWN_SETTING,
            "no such section is known",
            "use one of " + String.join(", ", SECTIONS));
      }
    }
    for (String section : SECTIONS) {
      if (!sections.containsKey(section) && !OPTIONAL_SECTIONS.contains(section)) {
        faults.add(
            section,
            "",
            ResultCode.MISSING_SETTING,
            "the section is missing",
            "add a section [" + section + "], as in examples/daemon.ini");
      }
    }
  }

  private SectionReader readerOf(String section) {
    // A missing section is one fault; its missing keys are not reported as well.
    TextFaults target = sections.containsKey(section) ? faults : new TextFaults();
    return new SectionReader(section, sections.getOrElse(section, TreeMap.empty()), target);
  }

  private DaemonSettings readSettings() {
    SectionReader listen = readers.get("listen");
    HostPort peers = requiredAddress(listen, "peers", true);
    return new DaemonSettings(
        readers.get("daemon").name("instance", "entry-1"),
        readers.get("daemon").name("data-centre", "north-1"),
        requiredAddress(listen, "callers", true),
        peers,
        advertisedPeerAddress(listen, peers),
        seedAddresses(readers.get("peers")),
        requiredAddress(readers.get("platform"), "log", false),
        requiredAddress(readers.get("platform"), "instance-list", false),
        new FleetSecretReader(readers.get("secrets"), secrets).read(),
        operatorTokenDigests(readers.get("operators")),
        queueLimits(readers.get("queues")),
        readers.get("shutdown").countOr("bound-ms", 30_000, 1_000, 600_000),
        logFormat(readers.get("logging")));
  }

  private static HostPort requiredAddress(
      SectionReader reader, String key, boolean isPortZeroAllowed) {
    String value = reader.required(key, "127.0.0.1:8080");
    return value.isEmpty() ? UNSET_ADDRESS : parseAddress(reader, key, value, isPortZeroAllowed);
  }

  private static HostPort parseAddress(
      SectionReader reader, String key, String value, boolean isPortZeroAllowed) {
    Optional<HostPort> address =
        HostPort.parse(value).filter(candidate -> isPortZeroAllowed || candidate.port() > 0);
    if (address.isEmpty()) {
      reader.fault(
          key,
          ResultCode.VALUE_OUT_OF_RANGE,
          "\"" + value + "\" is not an IP address with a port",
          "write it as 127.0.0.1:8080 or [::1]:8080; host names are not resolved");
    }
    return address.orElse(UNSET_ADDRESS);
  }

  private static HostPort advertisedPeerAddress(SectionReader reader, HostPort listen) {
    Optional<String> value = reader.optional("advertised-peer");
    if (value.isPresent()) {
      return parseAddress(reader, "advertised-peer", value.get(), false);
    }
    if (!listen.equals(UNSET_ADDRESS)
        && listen.toSocketAddress().getAddress().isAnyLocalAddress()) {
      reader.fault(
          "peers",
          ResultCode.MISSING_SETTING,
          "other daemons cannot connect to " + listen.ipAddress(),
          "add advertised-peer = ADDRESS:PORT with an address of this instance");
    }
    return listen;
  }

  private static List<HostPort> seedAddresses(SectionReader reader) {
    List<HostPort> seeds = new ArrayList<>();
    for (String part : reader.optional("seeds").orElse("").split(",", -1)) {
      if (!part.isBlank()) {
        seeds.add(parseAddress(reader, "seeds", part.trim(), false));
      }
    }
    return seeds;
  }

  private Map<String, String> operatorTokenDigests(SectionReader reader) {
    Map<String, String> digests = new HashMap<>();
    for (String name : sections.getOrElse("operators", TreeMap.empty()).keySet()) {
      String digest = reader.required(name, "SHA-256 of the token");
      if (!digest.isEmpty() && !SHA_256.matcher(digest).matches()) {
        // The message must not contain the value: the operator may have entered the token itself.
        reader.fault(
            name,
            ResultCode.VALUE_OUT_OF_RANGE,
            "the value is not a SHA-256 digest",
            "write the 64 lower-case hexadecimal digits that sha256sum prints for the token");
      }
      digests.put(name, digest);
    }
    if (digests.isEmpty() && sections.containsKey("operators")) {
      reader.fault(
          "",
          ResultCode.MISSING_SETTING,
          "no operator is configured, so nobody could change the configuration",
          "add a line NAME = SHA-256 of the operator's token");
    }
    return digests;
  }

  private static QueueLimits queueLimits(SectionReader reader) {
    return new QueueLimits(
        reader.countOr("max-queued-per-team", 200, 1, 100_000),
        reader.countOr("max-queued", 2_000, 1, 1_000_000),
        reader.countOr("max-queued-body-bytes", 33_554_432, 1_048_576, 999_999_999));
  }

  private static LogFormat logFormat(SectionReader reader) {
    String settingValue = reader.optional("format").orElse(LogFormat.PLAIN.settingValue());
    Optional<LogFormat> format = LogFormat.ofSettingValue(settingValue);
    if (format.isEmpty()) {
      reader.fault(
          "format",
          ResultCode.VALUE_OUT_OF_RANGE,
          "\"" + settingValue + "\" is not a log format",
          "write plain or json");
    }
    return format.orElse(LogFormat.PLAIN);
  }
}
