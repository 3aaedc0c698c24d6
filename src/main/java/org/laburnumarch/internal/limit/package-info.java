/** Allowances within a team's upper limit: units per daemon and transfers between daemons. */
package org.laburnumarch.internal.limit;
