/** Jobs as callers submit them, and the configuration that governs them. No I/O. */
package org.laburnumarch.internal.job;
