/**
 * Stand-ins for the platform's store, workers and service for instances, which speak its protocol
 * and keep a record of what they see. For tests, demos and fault soaks; no daemon uses them.
 */
package org.laburnumarch.internal.platform.standin;
