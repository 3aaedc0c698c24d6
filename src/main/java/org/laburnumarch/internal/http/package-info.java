/** HTTP clients for the platform's interfaces, and the event loop that they run on. */
package org.laburnumarch.internal.http;
