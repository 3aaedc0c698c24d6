/**
 * The daemon on the users' platform: follows the store, claims the ownership of the fleet, and
 * executes the owner's decisions. All of it runs on one thread.
 */
package org.laburnumarch.internal.node;
