/** Counters, latency histograms and gauges, and the text format in which they are served. */
package org.laburnumarch.internal.metrics;
