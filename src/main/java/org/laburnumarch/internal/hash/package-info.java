/** Hashing that gives the same result in all daemons. */
package org.laburnumarch.internal.hash;
