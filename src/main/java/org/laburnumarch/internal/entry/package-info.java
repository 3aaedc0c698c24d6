/** HTTP endpoints for callers and operators, and the dispatch of callers' requests to minions. */
package org.laburnumarch.internal.entry;
