/** Messages between daemons over TCP. */
package org.laburnumarch.internal.peer;
