package org.laburnumarch.internal.state;

import io.vavr.collection.Seq;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.BiFunction;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.DataCentreSpec;
import org.laburnumarch.internal.text.FleetSpec;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.MaintenanceSpec;
import org.laburnumarch.internal.text.PoolSpec;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.ServiceSpec;
import org.laburnumarch.internal.text.TeamSpec;
import org.laburnumarch.internal.text.TextChecker;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.internal.text.Weighting;

/** Small configuration texts, and a minimal checker for them. */
public final class TestTexts {

  /** Refuses a section {@code [faulty]}; accepts everything else. */
  public static final TextChecker CHECKER = TestTexts::check;

  private TestTexts() {}

  /**
   * Two data centres; pools a, b and spare; services a and b, where b depends on a; teams red and
   * blue.
   */
  public static TextSections fleet() {
    TextSections text = TextSections.empty();
    text = with(text, "fleet", "max-seats", "4");
    text = with(text, "data-centre north", "region", "r");
    text = with(text, "data-centre south", "region", "r");
    text = with(text, "pool a", "slots", "8");
    text = with(text, "pool b", "slots", "8");
    text = with(text, "pool spare", "slots", "8");
    text = with(text, "service a", "pool", "a", "min", "2", "needed", "3");
    text = with(text, "service b", "pool", "b", "min", "1", "needed", "1", "depends", "a");
    text = with(text, "team red", "limit", "10");
    return with(text, "team blue", "limit", "20");
  }

  public static TextSections with(TextSections text, String section, String... settings) {
    SortedMap<String, String> map = TreeMap.empty();
    for (int i = 0; i < settings.length; i += 2) {
      map = map.put(settings[i], settings[i + 1]);
    }
    return new TextSections(text.sections().put(section, map));
  }

  public static TextSections without(TextSections text, String section) {
    return new TextSections(text.sections().remove(section));
  }

  public static RecordBody.ConfigChanged change(
      long baseVersion, TextSections from, TextSections to) {
    return new RecordBody.ConfigChanged(baseVersion, SectionPatch.between(from, to), to.digest());
  }

  private static Either<Seq<Refusal>, FleetText> check(TextSections text) {
    if (text.sections().containsKey("faulty")) {
      return Either.left(Vector.of(Refusal.of(ResultCode.UNKNOWN_SETTING, "faulty section")));
    }
    int maxSeats = number(text.sections().getOrElse("fleet", TreeMap.empty()), "max-seats", 4);
    return Either.right(
        new FleetText(
            new FleetSpec("test", Weighting.SHARE_CLOSENESS, "spare", maxSeats),
            specs(text, "data-centre ", (name, s) -> new DataCentreSpec(name, "r")),
            TreeMap.empty(),
            specs(text, "pool ", (name, s) -> new PoolSpec(name, 8, 64)),
            TreeMap.empty(),
            specs(text, "service ", TestTexts::service),
            specs(
                text,
                "team ",
                (name, s) ->
                    new TeamSpec(name, 0.1, number(s, "limit", 0), s.containsKey("urgent"))),
            new MaintenanceSpec(true, 21)));
  }

  private static ServiceSpec service(String name, SortedMap<String, String> settings) {
    return new ServiceSpec(
        name,
        settings.get("pool").get(),
        "queue",
        TreeSet.ofAll(settings.get("depends")),
        number(settings, "min", 0),
        number(settings, "needed", 0));
  }

  private static int number(SortedMap<String, String> settings, String key, int defaultValue) {
    return settings.get(key).map(Integer::parseInt).getOrElse(defaultValue);
  }

  private static <T> SortedMap<String, T> specs(
      TextSections text, String prefix, BiFunction<String, SortedMap<String, String>, T> read) {
    SortedMap<String, T> result = TreeMap.empty();
    for (var section : text.sections()) {
      if (section._1.startsWith(prefix)) {
        String name = section._1.substring(prefix.length());
        result = result.put(name, read.apply(name, section._2));
      }
    }
    return result;
  }
}
