/** A short run of two daemons on a simulated platform, to create the archive of loaded classes. */
package org.laburnumarch.internal.rehearsal;
