package org.laburnumarch.internal.admission;

import org.laburnumarch.internal.admission.PoolBacklog.WaitingJob;
import org.laburnumarch.internal.share.TeamWeights;

/**
 * A submitted job that is not long-running, not timed and not known, and what its pool has to do.
 *
 * @param id the job's id
 * @param service the service whose pool is to run it
 * @param job the job as it would wait
 * @param chainMs expected time of its longest chain of steps
 * @param objectiveMs its latency objective
 * @param credit the number of jobs that its team may submit now within its agreement
 * @param weights the teams' weights
 * @param backlog the accepted work of the pool
 */
public record Submission(
    String id,
    String service,
    WaitingJob job,
    double chainMs,
    double objectiveMs,
    double credit,
    TeamWeights weights,
    PoolBacklog backlog) {}
