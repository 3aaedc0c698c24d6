package org.laburnumarch.internal.operator;

import io.vavr.Tuple2;
import io.vavr.collection.Seq;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.state.ControlState;
import org.laburnumarch.internal.state.InstanceEntry;
import org.laburnumarch.internal.state.InstanceHealth;
import org.laburnumarch.internal.state.RecordBody;
import org.laburnumarch.internal.text.MaintenanceSpec;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;

/** Starts and pauses maintenance waves by changing {@code [maintenance]} in the configuration. */
final class MaintenanceResource {

  private static final String SECTION = "maintenance";

  private final OperatorBackend backend;
  private final ChangeSubmitter submitter;
  private final LongSupplier epochMs;

  MaintenanceResource(OperatorBackend backend, ChangeSubmitter submitter, LongSupplier epochMs) {
    this.backend = backend;
    this.submitter = submitter;
    this.epochMs = epochMs;
  }

  CompletionStage<OperatorResponse> start(AuthenticatedRequest request) {
    return submitter.submit(request, changeTo("yes"));
  }

  CompletionStage<OperatorResponse> pause(AuthenticatedRequest request) {
    return submitter.submit(request, changeTo("no"));
  }

  private OperatorChange changeTo(String enabled) {
    return OperatorChange.of(
        RecordBody.ConfigChanged.class,
        id -> newRecord(enabled),
        (state, result) ->
            state.textVersion() != result.textVersion()
                || isEnabled(state) == enabled.equals("yes"));
  }

  private static boolean isEnabled(ControlState state) {
    return state.text().map(text -> text.maintenance().isEnabled()).orElse(false);
  }

  private Either<Refusal, RecordBody> newRecord(String enabled) {
    ControlState state = backend.state();
    if (state.text().isEmpty()) {
      return Either.left(
          Refusal.of(ResultCode.NOT_READY, "no configuration is in force yet; apply one first"));
    }
    if (isEnabled(state) == enabled.equals("yes")) {
      return Either.left(
          Refusal.of(ResultCode.NO_CHANGE, "maintenance is already enabled = " + enabled));
    }
    SortedMap<String, String> section =
        state.sections().sections().get(SECTION).getOrElse(TreeMap.empty());
    SectionPatch patch =
        new SectionPatch(Map.of(SECTION, section.put("enabled", enabled).toJavaMap()), List.of());
    TextSections result = state.sections().apply(patch);
    return Either.right(new RecordBody.ConfigChanged(state.textVersion(), patch, result.digest()));
  }

  /**
   * Returns whether waves are enabled, and the maintenance progress of each pool. The field {@code
   * due} counts the instances that have not been maintained for a whole interval.
   */
  CompletionStage<OperatorResponse> status(AuthenticatedRequest request) {
    ControlState state = backend.state();
    MaintenanceSpec spec =
        state.text().map(text -> text.maintenance()).orElse(new MaintenanceSpec(false, 0));
    long overdueBeforeEpochMs = epochMs.getAsLong() - TimeUnit.DAYS.toMillis(spec.intervalDays());
    List<Map<String, Object>> pools =
        state
            .instances()
            .values()
            .groupBy(InstanceEntry::pool)
            .toList()
            .sortBy(Tuple2::_1)
            .map(pool -> describe(pool._1, pool._2, overdueBeforeEpochMs))
            .toJavaList();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("enabled", spec.isEnabled());
    fields.put("intervalDays", spec.intervalDays());
    fields.put("pools", pools);
    return CompletableFuture.completedFuture(JsonResponses.ok(fields));
  }

  private static Map<String, Object> describe(
      String pool, Seq<InstanceEntry> instances, long overdueBeforeEpochMs) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("pool", pool);
    fields.put("instances", instances.size());
    fields.put("inMaintenance", countOf(instances, InstanceHealth.IN_MAINTENANCE));
    fields.put("failed", countOf(instances, InstanceHealth.FAILED));
    fields.put("due", instances.count(i -> i.maintainedAtEpochMs() < overdueBeforeEpochMs));
    return fields;
  }

  private static int countOf(Seq<InstanceEntry> instances, InstanceHealth health) {
    return instances.count(instance -> instance.health() == health);
  }
}
