package org.laburnumarch.internal.state;

import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import java.util.Optional;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.TextSections;

/**
 * The state that results from the records of the control log, as immutable tables.
 *
 * @param nextOffset offset of the next record to apply
 * @param textVersion version of the configuration text: the number of its accepted changes
 * @param sections sections of the current configuration text
 * @param text the same text, parsed and checked; empty before the first change
 * @param operations results of recent operations by operation id
 * @param departures transfer counters with members that have departed and whose allowance is not
 *     reclaimed yet
 * @param operationTimes log time of each entry of {@code operations}, oldest first
 * @param logTimeEpochMs the latest append time of a record by the log's own clock; never decreases
 * @param taskTables tasks, and the workers that run them
 */
public record ControlState(
    long nextOffset,
    long textVersion,
    TextSections sections,
    Optional<FleetText> text,
    SortedMap<String, KeyEntry> keys,
    SortedMap<String, DataCentreEntry> dataCentres,
    SortedMap<String, MemberEntry> members,
    SortedMap<String, AllowanceEntry> allowances,
    SortedMap<String, InstanceEntry> instances,
    Map<String, RecordResult> operations,
    Vector<AuditEntry> audit,
    SortedMap<String, DepartureEntry> departures,
    Vector<OperationTime> operationTimes,
    long logTimeEpochMs,
    TaskTables taskTables) {

  /** Creates a state without departures, operation times and tasks, at log time 0. */
  public ControlState(
      long nextOffset,
      long textVersion,
      TextSections sections,
      Optional<FleetText> text,
      SortedMap<String, KeyEntry> keys,
      SortedMap<String, DataCentreEntry> dataCentres,
      SortedMap<String, MemberEntry> members,
      SortedMap<String, AllowanceEntry> allowances,
      SortedMap<String, InstanceEntry> instances,
      Map<String, RecordResult> operations,
      Vector<AuditEntry> audit) {
    this(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        TreeMap.empty(),
        Vector.empty(),
        0,
        TaskTables.empty());
  }

  /** Returns the state before the first record. */
  public static ControlState empty() {
    return new ControlState(
        0,
        0,
        TextSections.empty(),
        Optional.empty(),
        TreeMap.empty(),
        TreeMap.empty(),
        TreeMap.empty(),
        TreeMap.empty(),
        TreeMap.empty(),
        io.vavr.collection.HashMap.empty(),
        Vector.empty());
  }

  /** Returns the state with another current configuration text. */
  public ControlState withText(long newVersion, TextSections newSections, FleetText newText) {
    return new ControlState(
        nextOffset,
        newVersion,
        newSections,
        Optional.of(newText),
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of keys. */
  public ControlState withKeys(SortedMap<String, KeyEntry> newKeys) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        newKeys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of data centres. */
  public ControlState withDataCentres(SortedMap<String, DataCentreEntry> newDataCentres) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        newDataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of members. */
  public ControlState withMembers(SortedMap<String, MemberEntry> newMembers) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        newMembers,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of allowances. */
  public ControlState withAllowances(SortedMap<String, AllowanceEntry> newAllowances) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        newAllowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of instances. */
  public ControlState withInstances(SortedMap<String, InstanceEntry> newInstances) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        newInstances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another table of departures. */
  public ControlState withDepartures(SortedMap<String, DepartureEntry> newDepartures) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        newDepartures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another audit trail. */
  public ControlState withAudit(Vector<AuditEntry> newAudit) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        newAudit,
        departures,
        operationTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with other results and times of recent operations. */
  public ControlState withOperations(
      Map<String, RecordResult> newOperations, Vector<OperationTime> newTimes) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        newOperations,
        audit,
        departures,
        newTimes,
        logTimeEpochMs,
        taskTables);
  }

  /** Returns the state with another next offset and log time. */
  public ControlState withNextOffset(long newNextOffset, long newLogTimeEpochMs) {
    return new ControlState(
        newNextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        newLogTimeEpochMs,
        taskTables);
  }

  /** Returns the state with other tables of tasks and workers. */
  public ControlState withTaskTables(TaskTables newTaskTables) {
    return new ControlState(
        nextOffset,
        textVersion,
        sections,
        text,
        keys,
        dataCentres,
        members,
        allowances,
        instances,
        operations,
        audit,
        departures,
        operationTimes,
        logTimeEpochMs,
        newTaskTables);
  }
}
