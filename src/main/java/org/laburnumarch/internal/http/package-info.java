/** HTTP adapters of the platform's interfaces. */
package org.laburnumarch.internal.http;
