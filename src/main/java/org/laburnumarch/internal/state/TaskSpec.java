package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A task as declared by its caller.
 *
 * @param task its id
 * @param job name shared by tasks of the same kind within a team; actual sizes are learned per job
 * @param size declared size; often inaccurate
 * @param units units of the team's upper limit that the task uses while it runs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskSpec(
    String task, String team, String job, TaskSize size, int units, TaskClass taskClass) {}
