package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;

/** The end of one attempt; a task that never started ends with attempt 0. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskEnd(String task, int attempt, AttemptEnd how) {}
