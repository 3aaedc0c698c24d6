package org.laburnumarch.internal.job;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.job.JobProgress.CrashedTask;
import org.laburnumarch.internal.job.JobProgress.FailedRuns;
import org.laburnumarch.internal.job.JobProgress.StepProgress;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes jobs and their progress in MessagePack for the platform's store and for messages between
 * daemons. Fields are written in a fixed order after a format number.
 */
public final class JobCodec {

  private static final int FORMAT = 1;

  private JobCodec() {}

  /** Encodes a job. */
  public static byte[] encode(JobSpec job) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT)
          .packString(job.id())
          .packString(job.queue())
          .packString(job.team())
          .packString(job.program())
          .packInt(job.repeatCount())
          .packLong(job.firstDueEpochMs())
          .packLong(job.periodMs())
          .packLong(job.submittedEpochMs())
          .packArrayHeader(job.steps().size());
      for (StepSpec step : job.steps()) {
        packStep(out, step);
      }
      out.packString(job.service());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a job.
   *
   * @throws IOException if the bytes are not a job of a known format
   */
  public static JobSpec decodeJob(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      requireFormat(in.unpackInt());
      String id = in.unpackString();
      String queue = in.unpackString();
      String team = in.unpackString();
      String program = in.unpackString();
      int repeatCount = in.unpackInt();
      long firstDueEpochMs = in.unpackLong();
      long periodMs = in.unpackLong();
      long submittedEpochMs = in.unpackLong();
      int count = in.unpackArrayHeader();
      List<StepSpec> steps = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        steps.add(unpackStep(in));
      }
      // Earlier versions ended the record before the service.
      String service = in.hasNext() ? in.unpackString() : "";
      return new JobSpec(
          id,
          queue,
          team,
          program,
          steps,
          repeatCount,
          firstDueEpochMs,
          periodMs,
          submittedEpochMs,
          service);
    }
  }

  private static void packStep(MessageBufferPacker out, StepSpec step) throws IOException {
    out.packInt(step.count())
        .packLong(step.need().cpuMillis())
        .packLong(step.need().memoryMb())
        .packLong(step.need().gpus())
        .packLong(step.estimatedRunMs())
        .packArrayHeader(step.after().size());
    for (int earlier : step.after()) {
      out.packInt(earlier);
    }
    out.packBoolean(step.isCheckpointing())
        .packBoolean(step.isGang())
        .packBoolean(step.isRackSensitive())
        .packString(step.requiredLabel())
        .packString(step.dataRack())
        .packInt(step.maxPerWorker())
        .packBoolean(step.isSpeculative())
        .packBoolean(step.isLongRunning())
        .packString(step.image())
        .packLong(step.tailLatencyTargetMs())
        .packBoolean(step.isFiller())
        .packInt(step.maxUnavailable());
  }

  private static StepSpec unpackStep(MessageUnpacker in) throws IOException {
    int count = in.unpackInt();
    Resources need = new Resources(in.unpackLong(), in.unpackLong(), in.unpackLong());
    long estimatedRunMs = in.unpackLong();
    int afterCount = in.unpackArrayHeader();
    List<Integer> after = new ArrayList<>(afterCount);
    for (int i = 0; i < afterCount; i++) {
      after.add(in.unpackInt());
    }
    return new StepSpec(
        count,
        need,
        estimatedRunMs,
        after,
        in.unpackBoolean(),
        in.unpackBoolean(),
        in.unpackBoolean(),
        in.unpackString(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackBoolean(),
        in.unpackBoolean(),
        in.unpackString(),
        in.unpackLong(),
        in.unpackBoolean(),
        in.unpackInt());
  }

  /** Encodes a job's progress. */
  public static byte[] encode(JobProgress progress) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT)
          .packString(progress.id())
          .packInt(progress.status().code())
          .packArrayHeader(progress.steps().size());
      for (StepProgress step : progress.steps()) {
        packStepProgress(out, step);
      }
      out.packArrayHeader(progress.crashedTasks().size());
      for (CrashedTask task : progress.crashedTasks()) {
        out.packInt(task.occurrence())
            .packInt(task.step())
            .packInt(task.index())
            .packInt(task.crashes())
            .packBoolean(task.isSuspect());
      }
      out.packArrayHeader(progress.laterServices().size());
      for (String service : progress.laterServices()) {
        out.packString(service);
      }
      out.packBoolean(progress.isSubmitted());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void packStepProgress(MessageBufferPacker out, StepProgress step)
      throws IOException {
    out.packInt(step.occurrence()).packInt(step.step());
    out.packBinaryHeader(step.done().length).writePayload(step.done());
    out.packArrayHeader(step.failedRuns().size());
    for (FailedRuns failed : step.failedRuns()) {
      out.packInt(failed.index()).packArrayHeader(failed.runs().size());
      for (long run : failed.runs()) {
        out.packLong(run);
      }
    }
  }

  /**
   * Decodes a job's progress.
   *
   * @throws IOException if the bytes are not the progress of a job in a known format
   */
  public static JobProgress decodeProgress(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      requireFormat(in.unpackInt());
      String id = in.unpackString();
      int code = in.unpackInt();
      JobStatus status =
          JobStatus.ofCode(code)
              .orElseThrow(() -> new IOException("unknown job status code " + code));
      int count = in.unpackArrayHeader();
      List<StepProgress> steps = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        steps.add(unpackStepProgress(in));
      }
      return new JobProgress(
          id,
          status,
          steps,
          unpackCrashedTasks(in),
          unpackLaterServices(in),
          unpackIsSubmitted(in));
    }
  }

  private static List<CrashedTask> unpackCrashedTasks(MessageUnpacker in) throws IOException {
    // Earlier versions ended the record before this list.
    int count = in.hasNext() ? in.unpackArrayHeader() : 0;
    List<CrashedTask> tasks = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      tasks.add(
          new CrashedTask(
              in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackBoolean()));
    }
    return tasks;
  }

  private static List<String> unpackLaterServices(MessageUnpacker in) throws IOException {
    // Earlier versions ended the record before this list.
    int count = in.hasNext() ? in.unpackArrayHeader() : 0;
    List<String> services = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      services.add(in.unpackString());
    }
    return services;
  }

  private static boolean unpackIsSubmitted(MessageUnpacker in) throws IOException {
    // Earlier versions ended the record before this flag.
    return !in.hasNext() || in.unpackBoolean();
  }

  private static StepProgress unpackStepProgress(MessageUnpacker in) throws IOException {
    int occurrence = in.unpackInt();
    int step = in.unpackInt();
    byte[] done = in.readPayload(in.unpackBinaryHeader());
    int failedCount = in.unpackArrayHeader();
    List<FailedRuns> failed = new ArrayList<>(failedCount);
    for (int i = 0; i < failedCount; i++) {
      int index = in.unpackInt();
      int runCount = in.unpackArrayHeader();
      List<Long> runs = new ArrayList<>(runCount);
      for (int r = 0; r < runCount; r++) {
        runs.add(in.unpackLong());
      }
      failed.add(new FailedRuns(index, runs));
    }
    return new StepProgress(occurrence, step, done, failed);
  }

  private static void requireFormat(int format) throws IOException {
    if (format != FORMAT) {
      throw new IOException("unknown format " + format + "; this version reads format " + FORMAT);
    }
  }
}
