/** Tells from the daemons' logs what became of one job. */
package org.laburnumarch.internal.explain;
