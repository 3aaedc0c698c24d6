/**
 * Stand-ins for the platform's store, workers and instance service. They implement its protocol,
 * record what they observe and check it against invariants. For tests, rehearsals and soak tests;
 * daemons don't use them.
 */
package org.laburnumarch.internal.platform.standin;
