package org.laburnumarch.internal.text;

import io.vavr.Tuple2;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.laburnumarch.ResultCode;

/**
 * Converts sections to typed values and reports all faults. A faulty value is replaced by a
 * fallback, so that the remaining text can be checked too.
 */
final class FleetTextReader {

  private static final int MAX_NAME_LENGTH = 100;
  private static final int MAX_COUNT = 100_000;

  // Characters that the fleet name must not contain. It is the only free text among the values, and
  // FleetTextWriter writes it unquoted, so it must not be changed when it is parsed again.
  private static final Pattern UNWRITABLE =
      Pattern.compile("^[\\s']|[=:]\\s*'|[#;\"\\\\\\p{Cntrl}\\u0085\\u2028\\u2029]|\\s$");

  private final SortedMap<String, SortedMap<String, String>> sections;
  private final TextFaults faults;

  FleetTextReader(TextSections sections, TextFaults faults) {
    this.sections = sections.sections();
    this.faults = faults;
  }

  FleetText read() {
    checkSectionNames();
    FleetText text =
        new FleetText(
            readSingle(SectionKind.FLEET, this::fleet),
            readNamed(SectionKind.DATA_CENTRE, this::dataCentre),
            readNamed(SectionKind.RACK, this::rack),
            readNamed(SectionKind.POOL, this::pool),
            readNamed(SectionKind.QUEUE, this::queue),
            readNamed(SectionKind.SERVICE, this::service),
            readNamed(SectionKind.TEAM, this::team),
            readSingle(SectionKind.MAINTENANCE, this::maintenance));
    new CrossSectionChecker(text, faults).check();
    return text;
  }

  private void checkSectionNames() {
    for (String section : sections.keySet()) {
      Optional<SectionKind> kind = SectionKind.of(section);
      if (kind.isEmpty()) {
        faults.add(
            section,
            "",
            ResultCode.UNKNOWN_SETTING,
            "no such section is known",
            "use one of " + SectionKind.headerForms());
      } else if (!SectionKind.isName(kind.get().nameIn(section))) {
        faults.add(
            section,
            "",
            ResultCode.TEXT_MALFORMED,
            "\"" + kind.get().nameIn(section) + "\" is not a name",
            "use up to 63 letters, digits, dots, hyphens and underscores");
      }
    }
  }

  private <T> T readSingle(SectionKind kind, Function<SectionReader, T> read) {
    String section = kind.sectionOf("");
    if (!sections.containsKey(section)) {
      faults.add(
          section,
          "",
          ResultCode.MISSING_SETTING,
          "the section is missing",
          "add a section [" + section + "]");
      // A missing section is one fault; its missing keys are not reported as well.
      return read.apply(new SectionReader(section, TreeMap.empty(), new TextFaults()));
    }
    return readSection(section, sections.get(section).get(), read);
  }

  private <T> SortedMap<String, T> readNamed(
      SectionKind kind, BiFunction<String, SectionReader, T> read) {
    SortedMap<String, T> specs = TreeMap.empty();
    for (Tuple2<String, SortedMap<String, String>> section : sections) {
      if (SectionKind.of(section._1).filter(kind::equals).isPresent()) {
        String name = kind.nameIn(section._1);
        T spec = readSection(section._1, section._2, reader -> read.apply(name, reader));
        specs = specs.put(name, spec);
      }
    }
    return specs;
  }

  private <T> T readSection(
      String section, SortedMap<String, String> values, Function<SectionReader, T> read) {
    SectionReader reader = new SectionReader(section, values, faults);
    T spec = read.apply(reader);
    reader.refuseUnknownKeys();
    return spec;
  }

  private FleetSpec fleet(SectionReader reader) {
    String name = reader.required("name", "Our firm");
    if (UNWRITABLE.matcher(name).find()) {
      reader.fault(
          "name",
          ResultCode.TEXT_MALFORMED,
          "the name begins with a quotation mark, or contains one of # ; \" \\ =' :' or a control"
              + " character",
          "leave these characters out");
    }
    if (name.length() > MAX_NAME_LENGTH) {
      reader.fault(
          "name",
          ResultCode.VALUE_OUT_OF_RANGE,
          "the name is longer than " + MAX_NAME_LENGTH + " characters",
          "shorten it");
    }
    return new FleetSpec(
        name,
        weighting(reader),
        reader.name("spare-pool", "spare"),
        reader.countOr("max-seats", 12, 1, 1_000));
  }

  private static Weighting weighting(SectionReader reader) {
    String value = reader.required("weighting", Weighting.SHARE_CLOSENESS.settingValue());
    Optional<Weighting> weighting = Weighting.ofSettingValue(value);
    if (weighting.isEmpty() && !value.isEmpty()) {
      reader.fault(
          "weighting",
          ResultCode.VALUE_OUT_OF_RANGE,
          "\"" + value + "\" is no weighting",
          "use one of " + Weighting.settingValues());
    }
    return weighting.orElse(Weighting.SHARE_CLOSENESS);
  }

  private DataCentreSpec dataCentre(String name, SectionReader reader) {
    return new DataCentreSpec(name, reader.name("region", "north"));
  }

  private RackSpec rack(String name, SectionReader reader) {
    return new RackSpec(name, reader.name("data-centre", "north-1"));
  }

  private PoolSpec pool(String name, SectionReader reader) {
    return new PoolSpec(
        name,
        reader.countOr("slots-per-minion", 8, 1, 1_024),
        reader.countOr("connections-per-minion", 64, 1, 65_535));
  }

  private QueueSpec queue(String name, SectionReader reader) {
    return new QueueSpec(
        name,
        reader.flagOr("open-to-all", false),
        reader.countOr("max-queued-per-team", 200, 1, MAX_COUNT));
  }

  private ServiceSpec service(String name, SectionReader reader) {
    return new ServiceSpec(
        name,
        reader.name("pool", "spare"),
        reader.name("queue", name),
        reader.names("depends-on"),
        reader.count("min-available", 1, 1, MAX_COUNT),
        reader.count("needed", MAX_COUNT, 1, MAX_COUNT));
  }

  private TeamSpec team(String name, SectionReader reader) {
    return new TeamSpec(
        name,
        reader.fraction("share"),
        reader.count("upper-limit", 1, 1, 1_000_000),
        reader.flagOr("urgent", false));
  }

  private MaintenanceSpec maintenance(SectionReader reader) {
    return new MaintenanceSpec(
        reader.flagOr("enabled", false), reader.countOr("interval-days", 21, 1, 365));
  }
}
