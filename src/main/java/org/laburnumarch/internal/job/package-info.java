/** Jobs as callers submit them, and the configuration that applies to them. No I/O. */
package org.laburnumarch.internal.job;
