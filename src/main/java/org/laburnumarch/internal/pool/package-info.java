/** Decides which instances move between pools and which go into maintenance. No I/O, no clocks. */
package org.laburnumarch.internal.pool;
