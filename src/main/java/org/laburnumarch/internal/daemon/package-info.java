/** Assembles the parts of a daemon and runs the effects of their decisions. */
package org.laburnumarch.internal.daemon;
