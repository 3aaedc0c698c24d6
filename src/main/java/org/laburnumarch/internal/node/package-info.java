/**
 * The daemon on the users' platform: follows the store, claims ownership, and carries out the
 * decisions of the owner. All of it runs on one thread.
 */
package org.laburnumarch.internal.node;
