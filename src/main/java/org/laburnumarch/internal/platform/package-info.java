/**
 * The adapter to the users' platform: its settings file, store, registry of workers, orders to
 * workers, machine service, advisory service, operators' records and callers' wire format.
 *
 * <p>All names on the wire stay in this package. Each message is decoded once into types whose
 * fields say what they hold.
 */
package org.laburnumarch.internal.platform;
