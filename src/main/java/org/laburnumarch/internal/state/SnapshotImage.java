package org.laburnumarch.internal.state;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.TextSections;

/**
 * The canonical form of a state: all tables in a fixed order, without derived data. Equal states
 * have equal images.
 */
record SnapshotImage(
    long nextOffset,
    long textVersion,
    long logTimeEpochMs,
    Map<String, Map<String, String>> sections,
    List<KeyEntry> keys,
    List<DataCentreEntry> dataCentres,
    List<MemberImage> members,
    List<AllowanceImage> allowances,
    List<InstanceEntry> instances,
    List<DepartureImage> departures,
    List<OperationImage> operations,
    List<AuditEntry> audit,
    TaskImage tasks) {

  /** The serialized form of {@link MemberEntry}. */
  record MemberImage(
      String memberId,
      String instance,
      String dataCentre,
      String peerAddress,
      int seat,
      long joinedAtOffset,
      MemberStatus status,
      boolean isCounting,
      long acknowledgedOffset,
      long suspectedAtOffset,
      long departedAtOffset,
      long suspectedAtEpochMs) {

    static MemberImage of(MemberEntry entry) {
      return new MemberImage(
          entry.memberId(),
          entry.instance(),
          entry.dataCentre(),
          entry.peerAddress(),
          entry.seat(),
          entry.joinedAtOffset(),
          entry.status(),
          entry.isCounting(),
          entry.acknowledgedOffset(),
          entry.suspectedAtOffset(),
          entry.departedAtOffset(),
          entry.suspectedAtEpochMs());
    }

    MemberEntry entry() {
      return new MemberEntry(
          memberId,
          instance,
          dataCentre,
          peerAddress,
          seat,
          joinedAtOffset,
          status,
          isCounting,
          acknowledgedOffset,
          suspectedAtOffset,
          departedAtOffset,
          suspectedAtEpochMs);
    }
  }

  /** The serialized form of {@link AllowanceEntry}. */
  record AllowanceImage(
      String team, long epoch, int limitUnits, int unassignedUnits, Map<String, Integer> base) {

    static AllowanceImage of(AllowanceEntry entry) {
      return new AllowanceImage(
          entry.team(),
          entry.epoch(),
          entry.limitUnits(),
          entry.unassignedUnits(),
          entry.baseUnits().toJavaMap());
    }

    AllowanceEntry entry() {
      return new AllowanceEntry(team, epoch, limitUnits, unassignedUnits, TreeMap.ofAll(base));
    }
  }

  /** The serialized form of {@link DepartureEntry}. */
  record DepartureImage(String memberId, Map<String, List<TransferTotals>> finalCounters) {

    static DepartureImage of(DepartureEntry entry) {
      return new DepartureImage(
          entry.memberId(), entry.finalCounters().mapValues(Vector::asJava).toJavaMap());
    }

    DepartureEntry entry() {
      return new DepartureEntry(memberId, TreeMap.ofAll(finalCounters).mapValues(Vector::ofAll));
    }
  }

  /**
   * The serialized form of a {@link RecordResult} with its log time; {@code code} is {@code OK} if
   * there is no refusal. The message is part of {@link StateDigest}, so daemons whose texts of
   * refusals differ have different digests.
   */
  record OperationImage(
      String id,
      long offset,
      long atEpochMs,
      long textVersion,
      ResultCode code,
      String message,
      long retryAfterMs) {

    static OperationImage of(RecordResult result, long atEpochMs) {
      return new OperationImage(
          result.operationId(),
          result.offset(),
          atEpochMs,
          result.textVersion(),
          result.code(),
          result.refusal().map(Refusal::message).orElse(""),
          result.refusal().map(Refusal::retryAfterMs).orElse(0L));
    }

    RecordResult result() {
      Optional<Refusal> refusal =
          code == ResultCode.OK
              ? Optional.empty()
              : Optional.of(new Refusal(code, message, retryAfterMs));
      return new RecordResult(offset, id, refusal, textVersion);
    }
  }

  /** Returns the image of a state. */
  static SnapshotImage of(ControlState state) {
    List<OperationImage> operations = new ArrayList<>();
    for (OperationTime time : state.operationTimes()) {
      RecordResult result = state.operations().get(time.operationId()).get();
      operations.add(OperationImage.of(result, time.judgedAtEpochMs()));
    }
    return new SnapshotImage(
        state.nextOffset(),
        state.textVersion(),
        state.logTimeEpochMs(),
        state
            .sections()
            .sections()
            .<Map<String, String>>mapValues(SortedMap::toJavaMap)
            .toJavaMap(),
        state.keys().values().asJava(),
        state.dataCentres().values().asJava(),
        state.members().values().map(MemberImage::of).asJava(),
        state.allowances().values().map(AllowanceImage::of).asJava(),
        state.instances().values().asJava(),
        state.departures().values().map(DepartureImage::of).asJava(),
        operations,
        state.audit().asJava(),
        TaskImage.of(state.taskTables()));
  }

  /** Returns the sections of the configuration text. */
  TextSections textSections() {
    return new TextSections(
        TreeMap.ofAll(sections).<SortedMap<String, String>>mapValues(TreeMap::ofAll));
  }

  /** Returns the state, with {@code text} as the checked form of its configuration text. */
  ControlState state(Optional<FleetText> text) {
    io.vavr.collection.Map<String, RecordResult> results = io.vavr.collection.HashMap.empty();
    for (OperationImage operation : operations) {
      results = results.put(operation.id(), operation.result());
    }
    return new ControlState(
        nextOffset,
        textVersion,
        textSections(),
        text,
        table(keys, KeyEntry::keyId),
        table(dataCentres, DataCentreEntry::dataCentre),
        table(members, MemberImage::memberId).mapValues(MemberImage::entry),
        table(allowances, AllowanceImage::team).mapValues(AllowanceImage::entry),
        table(instances, InstanceEntry::instance),
        results,
        Vector.ofAll(audit),
        table(departures, DepartureImage::memberId).mapValues(DepartureImage::entry),
        Vector.ofAll(operations).map(o -> new OperationTime(o.id(), o.atEpochMs())),
        logTimeEpochMs,
        tasks.tables());
  }

  private static <T> SortedMap<String, T> table(
      List<T> entries, java.util.function.Function<T, String> key) {
    return TreeMap.ofEntries(
        Vector.ofAll(entries).map(entry -> io.vavr.Tuple.of(key.apply(entry), entry)));
  }
}
