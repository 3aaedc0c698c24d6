package org.laburnumarch.internal.task;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.laburnumarch.internal.state.AttemptEnd;
import org.laburnumarch.internal.state.TaskEnd;
import org.laburnumarch.internal.state.TaskEntry;
import org.laburnumarch.spi.WorkerReport;

/** Finds attempts that have certainly ended and whose end is not recorded yet. */
final class AttemptEnds {

  private final TaskTimes times;

  AttemptEnds(TaskTimes times) {
    this.times = times;
  }

  List<TaskEnd> find(TaskIndex index, WorkerViews views, long nowMs) {
    List<TaskEnd> ends = new ArrayList<>();
    for (WorkerView view : views.all()) {
      boolean isLost = nowMs - view.silentSinceMs() >= times.takeoverWaitMs();
      for (TaskEntry task : index.startedOn(view.worker)) {
        Optional<AttemptEnd> reportedEnd =
            view.ended(TaskIndex.attemptIdOf(task)).map(AttemptEnds::endOf);
        if (reportedEnd.isPresent() || isLost) {
          ends.add(new TaskEnd(task.task(), task.attempt(), reportedEnd.orElse(AttemptEnd.LOST)));
        }
      }
    }
    return ends;
  }

  private static AttemptEnd endOf(WorkerReport.Result result) {
    return AttemptEnd.valueOf(result.name());
  }
}
