/** Connections between daemons: MessagePack frames over TCP. */
package org.laburnumarch.internal.link;
