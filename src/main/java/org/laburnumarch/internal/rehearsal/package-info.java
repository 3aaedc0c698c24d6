/** A short run of two daemons on stand-ins, from which the archive of loaded classes is made. */
package org.laburnumarch.internal.rehearsal;
