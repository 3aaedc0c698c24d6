/** Reconstructs the course of one job from the daemons' logs. */
package org.laburnumarch.internal.explain;
