package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laburnumarch.internal.job.TaskKey;
import org.laburnumarch.internal.schedule.RunLocations;
import org.laburnumarch.internal.schedule.RunLocations.Incarnation;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the locations of runs as MessagePack. Names of workers and jobs are written once, since
 * most of them recur.
 */
final class RunLocationsCodec {

  private static final int FORMAT = 2;

  /** The format before absences were added, which daemons of an earlier build leave. */
  private static final int FORMAT_WITHOUT_ABSENCES = 1;

  private RunLocationsCodec() {}

  static byte[] encode(RunLocations locations) {
    Map<Set<String>, Integer> numberByWorkers = new LinkedHashMap<>();
    Map<Set<Incarnation>, Integer> numberByAbsences = new LinkedHashMap<>();
    Map<String, List<TaskKey>> tasksByJob = new HashMap<>();
    locations
        .workersByTask()
        .forEach(
            (task, workerIds) -> {
              numberByWorkers.putIfAbsent(workerIds, numberByWorkers.size());
              numberByAbsences.putIfAbsent(absences(locations, task), numberByAbsences.size());
              tasksByJob.computeIfAbsent(task.job(), job -> new ArrayList<>()).add(task);
            });
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT).packLong(locations.term()).packLong(locations.earlierOrdersLeftMs());
      out.packMapHeader(locations.leasesLeftMs().size());
      for (Map.Entry<String, Long> left : locations.leasesLeftMs().entrySet()) {
        out.packString(left.getKey()).packLong(left.getValue());
      }
      out.packArrayHeader(numberByWorkers.size());
      for (Set<String> workerIds : numberByWorkers.keySet()) {
        out.packArrayHeader(workerIds.size());
        for (String workerId : workerIds) {
          out.packString(workerId);
        }
      }
      out.packArrayHeader(numberByAbsences.size());
      for (Set<Incarnation> absences : numberByAbsences.keySet()) {
        out.packMapHeader(absences.size());
        for (Incarnation absence : absences) {
          out.packString(absence.workerId()).packLong(absence.startedEpochMs());
        }
      }
      out.packMapHeader(tasksByJob.size());
      for (Map.Entry<String, List<TaskKey>> entry : tasksByJob.entrySet()) {
        out.packString(entry.getKey()).packArrayHeader(entry.getValue().size());
        for (TaskKey task : entry.getValue()) {
          out.packInt(task.occurrence())
              .packInt(task.step())
              .packInt(task.index())
              .packInt(numberByWorkers.get(locations.workersByTask().get(task)))
              .packInt(numberByAbsences.get(absences(locations, task)));
        }
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Set<Incarnation> absences(RunLocations locations, TaskKey task) {
    return locations.absences().getOrDefault(task, Set.of());
  }

  /**
   * Decodes the locations of runs.
   *
   * @throws IOException if the bytes are not in a known format
   */
  static RunLocations decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT && format != FORMAT_WITHOUT_ABSENCES) {
        throw new IOException("unsupported format " + format + " of the locations of runs");
      }
      long term = in.unpackLong();
      long earlierOrdersLeftMs = in.unpackLong();
      Map<String, Long> leasesLeftMs = new HashMap<>();
      for (int ids = in.unpackMapHeader(); ids > 0; ids--) {
        leasesLeftMs.put(in.unpackString(), in.unpackLong());
      }
      List<Set<String>> workers = new ArrayList<>();
      for (int sets = in.unpackArrayHeader(); sets > 0; sets--) {
        Set<String> workerIds = new HashSet<>();
        for (int ids = in.unpackArrayHeader(); ids > 0; ids--) {
          workerIds.add(in.unpackString());
        }
        workers.add(Set.copyOf(workerIds));
      }
      List<Set<Incarnation>> absences = new ArrayList<>();
      boolean hasAbsences = format != FORMAT_WITHOUT_ABSENCES;
      for (int sets = hasAbsences ? in.unpackArrayHeader() : 0; sets > 0; sets--) {
        Set<Incarnation> processes = new HashSet<>();
        for (int ids = in.unpackMapHeader(); ids > 0; ids--) {
          processes.add(new Incarnation(in.unpackString(), in.unpackLong()));
        }
        absences.add(Set.copyOf(processes));
      }
      Map<TaskKey, Set<String>> workersByTask = new HashMap<>();
      Map<TaskKey, Set<Incarnation>> absencesByTask = new HashMap<>();
      for (int jobs = in.unpackMapHeader(); jobs > 0; jobs--) {
        String job = in.unpackString();
        for (int tasks = in.unpackArrayHeader(); tasks > 0; tasks--) {
          TaskKey task = new TaskKey(job, in.unpackInt(), in.unpackInt(), in.unpackInt());
          workersByTask.put(task, find(workers, in.unpackInt()));
          if (hasAbsences) {
            absencesByTask.put(task, find(absences, in.unpackInt()));
          }
        }
      }
      return new RunLocations(
          term, workersByTask, absencesByTask, leasesLeftMs, earlierOrdersLeftMs);
    }
  }

  private static <T> T find(List<T> listed, int number) throws IOException {
    if (number < 0 || number >= listed.size()) {
      throw new IOException("the locations of runs refer to an entry that they do not list");
    }
    return listed.get(number);
  }
}
