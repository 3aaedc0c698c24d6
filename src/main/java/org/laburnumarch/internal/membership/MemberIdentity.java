package org.laburnumarch.internal.membership;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Identity of one incarnation of a daemon.
 *
 * @param memberId unique for each incarnation
 * @param instance the platform's name of the instance it runs on
 * @param peerAddress IP address and port of its peer server
 */
public record MemberIdentity(
    String memberId, String instance, String dataCentre, String peerAddress) {

  /** Returns an identity with a random member id of 16 hexadecimal digits. */
  public static MemberIdentity newIncarnation(
      String instance, String dataCentre, String peerAddress, UniformRandomProvider random) {
    return new MemberIdentity(
        String.format("%016x", random.nextLong()), instance, dataCentre, peerAddress);
  }
}
