package org.laburnumarch.internal.state;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.laburnumarch.internal.text.SectionPatch;
import org.laburnumarch.internal.text.TextSections;
import org.laburnumarch.spi.LogRecord;

/**
 * Generates a random log with all kinds of records, duplicates, and bytes that are not a record.
 */
public final class RandomRecords {

  private static final String[] POOLS = {"a", "b", "spare", "none"};
  private static final String[] DATA_CENTRES = {"north", "south", "west"};
  private static final String[] TEAMS = {"red", "blue", "green"};

  private final UniformRandomProvider random;
  private final ControlStateMachine machine = new ControlStateMachine(TestTexts.CHECKER);
  private final List<LogRecord> records = new ArrayList<>();
  private ControlState state = ControlState.empty();
  private long timeEpochMs = 1_000_000;
  private int acceptedCount;

  public RandomRecords(UniformRandomProvider random) {
    this.random = random;
    write(encoded(TestTexts.change(0, TextSections.empty(), TestTexts.fleet())));
  }

  /** Appends records until there are {@code count}, and returns all of them. */
  public List<LogRecord> upTo(int count) {
    while (records.size() < count) {
      write(nextBytes());
    }
    return records;
  }

  /** Returns the state after all records. */
  public ControlState state() {
    return state;
  }

  public int acceptedCount() {
    return acceptedCount;
  }

  private void write(byte[] bytes) {
    timeEpochMs += random.nextInt(3_000) - 200;
    LogRecord record = new LogRecord(records.size(), timeEpochMs, bytes);
    records.add(record);
    ApplyResult applyResult = machine.apply(state, record);
    state = applyResult.state();
    acceptedCount += applyResult.result().isAccepted() ? 1 : 0;
  }

  private byte[] nextBytes() {
    int draw = random.nextInt(100);
    if (draw < 3) {
      byte[] noise = new byte[random.nextInt(60)];
      random.nextBytes(noise);
      return noise;
    }
    if (draw < 8) {
      return records.get(random.nextInt(records.size())).data();
    }
    return encoded(draw == 99 ? snapshot() : body());
  }

  private byte[] encoded(RecordBody body) {
    return RecordCodec.encode(new Envelope("op-" + records.size(), "author", 0, body)).get();
  }

  private RecordBody snapshot() {
    return new RecordBody.SnapshotTaken(
        state.nextOffset() - 1, new SnapshotCodec(TestTexts.CHECKER).encode(state));
  }

  private RecordBody body() {
    return switch (random.nextInt(23)) {
      case 0 -> change();
      case 1 -> new RecordBody.KeyGranted("k" + random.nextInt(99), pick(TEAMS), "a".repeat(64));
      case 2 -> new RecordBody.KeyRevoked("k" + random.nextInt(99));
      case 3 -> new RecordBody.DataCentreTakenOut(pick(DATA_CENTRES));
      case 4 -> new RecordBody.DataCentreReturned(pick(DATA_CENTRES));
      case 5 -> new RecordBody.MemberJoined("m" + records.size(), "i", "north", "a");
      case 6 -> new RecordBody.MemberSuspected(member(), member());
      case 7 -> new RecordBody.MemberAlive(member());
      case 8 -> new RecordBody.MemberExpelled(member(), member(), reason());
      case 9 -> new RecordBody.MemberLeft(random.nextInt(3) == 0 ? member() : "m");
      case 10, 11 -> acknowledgement();
      case 12 -> claim();
      case 13 -> new RecordBody.AllowanceReclaimed(state.departures().keySet().toJavaList());
      case 14 ->
          new RecordBody.InstanceAdded(instance(), pick(POOLS), pick(DATA_CENTRES), "r", "address");
      case 15 ->
          random.nextInt(4) == 0
              ? new RecordBody.InstanceRemoved(instance())
              : new RecordBody.InstanceMoved(instance(), pick(POOLS), pick(POOLS));
      case 16 ->
          new RecordBody.WorkerChanged(
              worker(), "north", new TaskSize(9, 9, random.nextInt(3)), random.nextInt(9) > 0);
      case 17 -> new RecordBody.TasksAccepted(List.of(task(), task()));
      case 18 ->
          new RecordBody.TasksStarted(
              member(),
              state.taskTables().membershipOffset() - random.nextInt(9) / 8,
              List.of(
                  new TaskStart(taskId(), 1 + random.nextInt(2), worker()),
                  new TaskStart(taskId(), 1 + random.nextInt(2), worker())));
      case 19 -> new RecordBody.TasksEnded(member(), List.of(end(), end(), end()));
      case 20 -> new RecordBody.TasksCancelled(List.of(taskId()));
      default ->
          random.nextBoolean()
              ? new RecordBody.MaintenanceStarted(instance())
              : new RecordBody.MaintenanceFinished(instance(), random.nextBoolean());
    };
  }

  private TaskSpec task() {
    return new TaskSpec(
        taskId(), pick(TEAMS), "j" + random.nextInt(5), TaskSize.NONE, 1, TaskClass.STEADY);
  }

  private TaskEnd end() {
    String task = taskId();
    int attempt = state.taskTables().tasks().get(task).map(TaskEntry::attempt).getOrElse(1);
    AttemptEnd[] ends = AttemptEnd.values();
    return new TaskEnd(task, attempt, ends[random.nextInt(ends.length)]);
  }

  private String taskId() {
    return "t" + random.nextInt(40);
  }

  private String worker() {
    return "w" + random.nextInt(4);
  }

  private RecordBody change() {
    TextSections text = state.sections();
    TextSections changed =
        random.nextInt(6) == 0
            ? TestTexts.without(text, "team " + pick(TEAMS))
            : TestTexts.with(
                text, "team " + pick(TEAMS), "limit", String.valueOf(random.nextInt(30)));
    long baseVersion = state.textVersion() - (random.nextInt(5) == 0 ? 1 : 0);
    return new RecordBody.ConfigChanged(
        baseVersion, SectionPatch.between(text, changed), changed.digest());
  }

  private RecordBody acknowledgement() {
    List<TransferTotals> totals = new ArrayList<>();
    for (String departed : state.departures().keySet()) {
      String team = pick(TEAMS);
      long epoch = state.allowances().get(team).map(AllowanceEntry::epoch).getOrElse(0L);
      totals.add(
          new TransferTotals(departed, team, epoch, random.nextInt(9) / 8, random.nextInt(9) / 8));
    }
    return new RecordBody.MemberAcknowledged(member(), state.nextOffset(), totals);
  }

  private RecordBody claim() {
    return new RecordBody.AllowanceClaimed(
        member(), List.of(new TeamUnits(pick(TEAMS), 1 + random.nextInt(5))));
  }

  private ExpulsionReason reason() {
    return random.nextBoolean() ? ExpulsionReason.GONE : ExpulsionReason.SILENT;
  }

  /** Returns a member id, usually one of an active member. */
  private String member() {
    boolean includesDeparted = random.nextInt(10) == 0;
    Vector<String> memberIds =
        state
            .members()
            .values()
            .filter(member -> includesDeparted || member.isActive())
            .map(MemberEntry::memberId)
            .toVector();
    return memberIds.isEmpty() ? "nobody" : memberIds.get(random.nextInt(memberIds.size()));
  }

  private String instance() {
    return "i" + random.nextInt(15);
  }

  private String pick(String[] names) {
    return names[random.nextInt(names.length)];
  }
}
