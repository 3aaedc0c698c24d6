package org.laburnumarch.spi;

/** Identifies one attempt to run a task; attempts are numbered from 1. */
public record AttemptId(String task, int attempt) {}
