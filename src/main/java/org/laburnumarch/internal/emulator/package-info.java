/**
 * The subcommands of {@code laburnumarch emulator}: stand-ins for the platform and for backend
 * servers, and a bounded load generator.
 */
package org.laburnumarch.internal.emulator;
