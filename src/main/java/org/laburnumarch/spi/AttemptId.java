package org.laburnumarch.spi;

/** One attempt of a task; the first has number 1. */
public record AttemptId(String task, int attempt) {}
