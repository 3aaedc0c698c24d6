/**
 * A randomized soak: real daemons as processes of their own, a platform of stand-ins, and faults
 * that strike from outside. Every choice follows from one seed.
 */
package org.laburnumarch.internal.soak;
