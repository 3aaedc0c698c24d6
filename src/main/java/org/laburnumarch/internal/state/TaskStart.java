package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonFormat;

/** The start of one attempt of a task on a worker; the first attempt has number 1. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskStart(String task, int attempt, String worker) {}
