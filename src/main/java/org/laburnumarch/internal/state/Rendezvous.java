package org.laburnumarch.internal.state;

import java.util.Comparator;
import java.util.List;
import org.laburnumarch.internal.hash.StableHash;

/** Assigns subjects, such as workers or tasks, to active members by rendezvous hashing. */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Returns the ids of the active members by descending rendezvous hash; the owner of {@code
   * subject} is first.
   */
  public static List<String> ranked(ControlState state, String subject) {
    return state
        .members()
        .values()
        .filter(MemberEntry::isActive)
        .map(MemberEntry::memberId)
        .sorted(Comparator.comparingLong((String id) -> StableHash.of(id, subject)).reversed())
        .asJava();
  }

  /** Returns the id of the owner of {@code subject}, or an empty string if no member is active. */
  public static String owner(ControlState state, String subject) {
    return state
        .members()
        .values()
        .filter(MemberEntry::isActive)
        .map(MemberEntry::memberId)
        .maxBy(Comparator.comparingLong(id -> StableHash.of(id, subject)))
        .getOrElse("");
  }
}
