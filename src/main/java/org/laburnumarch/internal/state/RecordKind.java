package org.laburnumarch.internal.state;

import com.google.errorprone.annotations.Immutable;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/** The kinds of records, with the short names that identify them in the log. */
public enum RecordKind {
  CONFIG_CHANGED("cc", RecordBody.ConfigChanged.class, RecordKind::changedSections),
  KEY_GRANTED("kg", RecordBody.KeyGranted.class, RecordKind::grantedKey),
  KEY_REVOKED("kr", RecordBody.KeyRevoked.class, b -> ((RecordBody.KeyRevoked) b).keyId()),
  DATA_CENTRE_TAKEN_OUT(
      "do",
      RecordBody.DataCentreTakenOut.class,
      b -> ((RecordBody.DataCentreTakenOut) b).dataCentre()),
  DATA_CENTRE_RETURNED(
      "dr",
      RecordBody.DataCentreReturned.class,
      b -> ((RecordBody.DataCentreReturned) b).dataCentre()),
  MEMBER_JOINED("mj", RecordBody.MemberJoined.class),
  MEMBER_SUSPECTED("ms", RecordBody.MemberSuspected.class),
  MEMBER_ALIVE("ma", RecordBody.MemberAlive.class),
  MEMBER_EXPELLED("mx", RecordBody.MemberExpelled.class),
  MEMBER_LEFT("ml", RecordBody.MemberLeft.class),
  MEMBER_ACKNOWLEDGED("mk", RecordBody.MemberAcknowledged.class),
  ALLOWANCE_CLAIMED("ac", RecordBody.AllowanceClaimed.class),
  ALLOWANCE_RECLAIMED("ar", RecordBody.AllowanceReclaimed.class),
  INSTANCE_ADDED("ia", RecordBody.InstanceAdded.class),
  INSTANCE_REMOVED("ir", RecordBody.InstanceRemoved.class),
  INSTANCE_MOVED("im", RecordBody.InstanceMoved.class),
  MAINTENANCE_STARTED("xs", RecordBody.MaintenanceStarted.class),
  MAINTENANCE_FINISHED("xf", RecordBody.MaintenanceFinished.class),
  TASKS_ACCEPTED("ta", RecordBody.TasksAccepted.class),
  TASKS_STARTED("ts", RecordBody.TasksStarted.class),
  TASKS_ENDED("te", RecordBody.TasksEnded.class),
  TASKS_CANCELLED("tc", RecordBody.TasksCancelled.class),
  WORKER_CHANGED("wc", RecordBody.WorkerChanged.class),
  SNAPSHOT_TAKEN("sn", RecordBody.SnapshotTaken.class);

  private static final Map<Class<?>, RecordKind> BY_TYPE =
      Arrays.stream(values()).collect(Collectors.toMap(RecordKind::bodyType, kind -> kind));

  private final String shortName;
  private final Class<? extends RecordBody> bodyType;
  private final boolean operatorChange;
  private final Subject subject;

  RecordKind(String shortName, Class<? extends RecordBody> bodyType) {
    this(shortName, bodyType, false, body -> "");
  }

  RecordKind(String shortName, Class<? extends RecordBody> bodyType, Subject subject) {
    this(shortName, bodyType, true, subject);
  }

  RecordKind(
      String shortName,
      Class<? extends RecordBody> bodyType,
      boolean operatorChange,
      Subject subject) {
    this.shortName = shortName;
    this.bodyType = bodyType;
    this.operatorChange = operatorChange;
    this.subject = subject;
  }

  /** Returns the kind of a record. */
  public static RecordKind of(RecordBody body) {
    return BY_TYPE.get(body.getClass());
  }

  /** Returns the name that identifies the kind in the log. */
  public String shortName() {
    return shortName;
  }

  /** Returns the class of record bodies of this kind. */
  public Class<? extends RecordBody> bodyType() {
    return bodyType;
  }

  /**
   * Returns whether operators request this kind of change, so that it is added to the audit trail.
   */
  public boolean isOperatorChange() {
    return operatorChange;
  }

  /**
   * Returns what an operator's change refers to, such as a key id or section names, without
   * secrets.
   */
  public String subjectOf(RecordBody body) {
    return subject.of(body);
  }

  private static String changedSections(RecordBody body) {
    var patch = ((RecordBody.ConfigChanged) body).patch();
    String replaced = patch.replaced().keySet().stream().sorted().collect(Collectors.joining(", "));
    String removed = patch.removed().stream().sorted().collect(Collectors.joining(", "));
    return (replaced + (removed.isEmpty() ? "" : " removed: " + removed)).strip();
  }

  private static String grantedKey(RecordBody body) {
    var granted = (RecordBody.KeyGranted) body;
    return granted.keyId() + " for team " + granted.team();
  }

  /** Extracts what a record refers to, for the audit trail. */
  @Immutable
  @FunctionalInterface
  private interface Subject {
    String of(RecordBody body);
  }
}
