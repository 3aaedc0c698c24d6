/** Counters and latency histograms, and the text in which they are served. */
package org.laburnumarch.internal.metrics;
