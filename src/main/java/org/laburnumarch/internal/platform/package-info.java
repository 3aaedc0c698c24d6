/**
 * The adapter to the users' platform: its settings file, store, registry of workers, orders to
 * workers, machine service, advisory service, operators' records and callers' wire format.
 *
 * <p>Field names and paths of the platform's protocols are used in this package only. Each message
 * is decoded once into types with this project's own names.
 */
package org.laburnumarch.internal.platform;
