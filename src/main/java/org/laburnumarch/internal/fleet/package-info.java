/**
 * Plans the capacity of pools, the maintenance of instances, and the addition and removal of
 * instances.
 */
package org.laburnumarch.internal.fleet;
