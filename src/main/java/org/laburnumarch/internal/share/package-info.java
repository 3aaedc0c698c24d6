/** Divides a full pool between teams. No I/O and no clocks: the time is passed to each call. */
package org.laburnumarch.internal.share;
