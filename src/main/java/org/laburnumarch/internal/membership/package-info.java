/** Membership, dispatch authority, and reclaiming the allowance of departed members. */
package org.laburnumarch.internal.membership;
