package org.laburnumarch.internal.peer;

import java.util.Objects;

/**
 * Identity that a daemon presents to its peers.
 *
 * @param memberId random, new for each incarnation
 * @param instance the platform's name of the instance that the daemon runs on
 */
public record PeerIdentity(String memberId, String instance) {

  public PeerIdentity {
    Objects.requireNonNull(memberId, "memberId");
    Objects.requireNonNull(instance, "instance");
  }
}
