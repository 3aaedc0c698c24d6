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
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the locations of runs as MessagePack. Names of workers and jobs are written once, since
 * most of them recur.
 */
final class RunLocationsCodec {

  private static final int FORMAT = 1;

  private RunLocationsCodec() {}

  static byte[] encode(RunLocations locations) {
    Map<Set<String>, Integer> numberByWorkers = new LinkedHashMap<>();
    Map<String, List<TaskKey>> tasksByJob = new HashMap<>();
    locations
        .workersByTask()
        .forEach(
            (task, workerIds) -> {
              numberByWorkers.putIfAbsent(workerIds, numberByWorkers.size());
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
      out.packMapHeader(tasksByJob.size());
      for (Map.Entry<String, List<TaskKey>> entry : tasksByJob.entrySet()) {
        out.packString(entry.getKey()).packArrayHeader(entry.getValue().size());
        for (TaskKey task : entry.getValue()) {
          out.packInt(task.occurrence())
              .packInt(task.step())
              .packInt(task.index())
              .packInt(numberByWorkers.get(locations.workersByTask().get(task)));
        }
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes the locations of runs.
   *
   * @throws IOException if the bytes are not in a known format
   */
  static RunLocations decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
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
      Map<TaskKey, Set<String>> workersByTask = new HashMap<>();
      for (int jobs = in.unpackMapHeader(); jobs > 0; jobs--) {
        String job = in.unpackString();
        for (int tasks = in.unpackArrayHeader(); tasks > 0; tasks--) {
          TaskKey task = new TaskKey(job, in.unpackInt(), in.unpackInt(), in.unpackInt());
          int number = in.unpackInt();
          if (number < 0 || number >= workers.size()) {
            throw new IOException("the locations of runs name workers that they do not list");
          }
          workersByTask.put(task, workers.get(number));
        }
      }
      return new RunLocations(term, workersByTask, leasesLeftMs, earlierOrdersLeftMs);
    }
  }
}
