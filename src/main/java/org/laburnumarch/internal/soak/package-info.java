/**
 * A randomized soak test: daemons as separate processes, a simulated platform, and faults that are
 * injected from outside. All random choices are derived from one seed.
 */
package org.laburnumarch.internal.soak;
