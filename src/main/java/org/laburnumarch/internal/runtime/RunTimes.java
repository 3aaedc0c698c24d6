package org.laburnumarch.internal.runtime;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laburnumarch.internal.job.StepSpec;

/**
 * Predicts run times from finished runs, for loads whose callers estimate them badly and some of
 * whose tasks take several times as long as is usual for their kind. There is a model for each kind
 * of work, each image and each queue; the less evidence one has, the more the next coarser one
 * counts, and at last the caller's estimate. Not thread-safe and without I/O.
 */
public final class RunTimes {

  private static final int MAX_KINDS = 512;
  private static final int MAX_IMAGES = 128;
  private static final int MAX_QUEUES = 128;

  /**
   * Number of runs with which a model counts as much as everything coarser. Estimates differ far
   * more between kinds than run times do within one, so few runs suffice.
   */
  private static final double COARSER_LEVEL_RUNS = 3;

  /**
   * Ratio of the tail to the caller's estimate without evidence. Estimates are wrong by a factor of
   * 3.5 in every twelfth case where their spread is 0.9.
   */
  private static final double TAIL_RATIO_WITHOUT_EVIDENCE = 3.5;

  /** Largest ratio of prediction to estimate and back; beyond four times a spread of 0.9. */
  private static final double MAX_LOG_RATIO = Math.log(50);

  /** Number of runs from which on single runs change predictions little. */
  private static final int RUNS_OF_FIRST_GENERATIONS = 64;

  private static final int RUNS_PER_GENERATION = 16;

  private final Map<KindKey, RunTimeModel> kinds = new BoundedMap<>(MAX_KINDS);
  private final Map<String, RunTimeModel> images = new BoundedMap<>(MAX_IMAGES);
  private final Map<String, RunTimeModel> queues = new BoundedMap<>(MAX_QUEUES);
  private final Map<String, Calibration> calibrations = new BoundedMap<>(MAX_QUEUES);
  private long learntRuns;

  /** Drops the entry that has not been used for the longest time when it is full. */
  private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;
    private final int maxSize;

    BoundedMap(int maxSize) {
      super(16, 0.75f, true);
      this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > maxSize;
    }
  }

  /** Predicts the run time of the tasks of a step. */
  public RunTimePrediction predict(String queue, StepSpec step) {
    double estimateMs = Math.max(1, step.estimatedRunMs());
    Blend blend = new Blend(Math.log(estimateMs));
    blend.add(kinds.get(KindKey.of(queue, step)));
    if (!step.image().isEmpty()) {
      blend.add(images.get(step.image()));
    }
    blend.add(queues.get(queue));
    if (blend.remaining == 1) {
      return new RunTimePrediction(
          estimateMs, estimateMs, TAIL_RATIO_WITHOUT_EVIDENCE * estimateMs, estimateMs, 0, 1);
    }
    return blend.prediction();
  }

  /** Returns the mean run time that is predicted for the tasks of a step, in milliseconds. */
  public double expectedMs(String queue, StepSpec step) {
    return predict(queue, step).expectedMs();
  }

  /** The weighted mean of the quantiles of several models, each of which leaves some weight. */
  private static final class Blend {
    private final double logEstimate;
    private double remaining = 1;
    private double centre;
    private double median;
    private double high;
    private double tail;
    private double mean;
    private int runs;

    Blend(double logEstimate) {
      this.logEstimate = logEstimate;
    }

    void add(RunTimeModel model) {
      if (model == null || model.runs() == 0) {
        return;
      }
      double weight = remaining * model.runs() / (model.runs() + COARSER_LEVEL_RUNS);
      centre += weight * model.centre(logEstimate);
      median += weight * model.medianOffset();
      high += weight * model.highOffset();
      tail += weight * model.tailOffset();
      mean += weight * model.meanOffset();
      remaining -= weight;
      runs = Math.max(runs, model.runs());
    }

    RunTimePrediction prediction() {
      centre += remaining * logEstimate;
      tail += remaining * Math.log(TAIL_RATIO_WITHOUT_EVIDENCE);
      return new RunTimePrediction(ms(median), ms(high), ms(tail), ms(mean), runs, remaining);
    }

    private double ms(double offset) {
      double logRatio = centre + offset - logEstimate;
      return Math.exp(logEstimate + Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio)));
    }
  }

  /**
   * Adds a finished run.
   *
   * @param ranMs its time, as if near its data on a worker of usual speed, in milliseconds
   */
  public void learn(String queue, StepSpec step, double ranMs) {
    learntRuns++;
    RunTimePrediction before = predict(queue, step);
    if (before.hasEvidence()) {
      calibrations
          .computeIfAbsent(queue, name -> new Calibration())
          .add(ranMs <= before.medianMs(), ranMs <= before.highMs());
    }
    double logEstimate = Math.log((double) Math.max(1, step.estimatedRunMs()));
    double logMs = Math.log(Math.max(1, ranMs));
    for (RunTimeModel model : models(queue, step)) {
      model.add(logEstimate, logMs);
    }
  }

  /**
   * Adds a run that was stopped or killed, or whose start is unknown: its time is a lower bound.
   *
   * @param ranMs the bound, as if near its data on a worker of usual speed, in milliseconds
   */
  public void learnBound(String queue, StepSpec step, double ranMs) {
    double logEstimate = Math.log((double) Math.max(1, step.estimatedRunMs()));
    double logMs = Math.log(Math.max(1, ranMs));
    for (RunTimeModel model : models(queue, step)) {
      model.addBound(logEstimate, logMs);
    }
  }

  private List<RunTimeModel> models(String queue, StepSpec step) {
    List<RunTimeModel> models = new ArrayList<>(3);
    models.add(kinds.computeIfAbsent(KindKey.of(queue, step), key -> new RunTimeModel()));
    if (!step.image().isEmpty()) {
      models.add(images.computeIfAbsent(step.image(), name -> new RunTimeModel()));
    }
    models.add(queues.computeIfAbsent(queue, name -> new RunTimeModel()));
    return models;
  }

  /** Returns how well the predictions for each queue have been calibrated. */
  public Map<String, Calibration> calibrations() {
    return Collections.unmodifiableMap(calibrations);
  }

  /**
   * Returns a number that grows as more is learnt. As long as it stays the same, an earlier
   * prediction for a step is still good enough.
   */
  public long generation() {
    return learntRuns < RUNS_OF_FIRST_GENERATIONS
        ? learntRuns
        : RUNS_OF_FIRST_GENERATIONS + learntRuns / RUNS_PER_GENERATION;
  }

  /** Returns the number of kinds of work that are known. */
  public int kindCount() {
    return kinds.size();
  }

  /** Returns whether the record that was last encoded differs noticeably from the present state. */
  public boolean hasChanged() {
    return kinds.values().stream().anyMatch(RunTimeModel::hasChanged)
        || images.values().stream().anyMatch(RunTimeModel::hasChanged)
        || queues.values().stream().anyMatch(RunTimeModel::hasChanged);
  }

  /**
   * Encodes what has been learnt, for a later owner. The entries that were not used for the longest
   * time are left out if the record would become too long.
   */
  public byte[] encode(int maxBytes) {
    return RunTimesCodec.encode(queues, images, kinds, maxBytes);
  }

  /**
   * Replaces the contents by those of an earlier owner.
   *
   * @throws IOException if the record is unreadable; the contents do not change then
   */
  public void restore(byte[] record) throws IOException {
    RunTimesCodec.Contents contents = RunTimesCodec.decode(record);
    queues.clear();
    images.clear();
    kinds.clear();
    queues.putAll(contents.queues());
    images.putAll(contents.images());
    kinds.putAll(contents.kinds());
  }
}
