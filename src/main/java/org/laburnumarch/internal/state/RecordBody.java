package org.laburnumarch.internal.state;

import java.util.List;
import org.laburnumarch.internal.text.SectionPatch;

/**
 * The change that a record of the control log requests; it takes effect if the record is accepted
 * when it is applied.
 */
public sealed interface RecordBody {

  /**
   * Changes the configuration text; {@code resultDigest} is the digest of the text that the author
   * expects as the result.
   */
  record ConfigChanged(long baseVersion, SectionPatch patch, String resultDigest)
      implements RecordBody {}

  /** Makes a key valid; {@code secretDigest} is the SHA-256 digest in hexadecimal. */
  record KeyGranted(String keyId, String team, String secretDigest) implements RecordBody {}

  /** Makes a key permanently invalid. */
  record KeyRevoked(String keyId) implements RecordBody {}

  /** Takes a data centre out of service. */
  record DataCentreTakenOut(String dataCentre) implements RecordBody {}

  /** Returns a data centre to service. */
  record DataCentreReturned(String dataCentre) implements RecordBody {}

  /** Adds a daemon as a member; each start of a process has a new {@code memberId}. */
  record MemberJoined(String memberId, String instance, String dataCentre, String peerAddress)
      implements RecordBody {}

  /** Reports that a member has not been heard from. */
  record MemberSuspected(String memberId, String byMemberId) implements RecordBody {}

  /** Refutes the suspicion of the member that writes this record. */
  record MemberAlive(String memberId) implements RecordBody {}

  /** Expels a member that is suspected or whose process has ended. */
  record MemberExpelled(String memberId, String byMemberId, ExpulsionReason reason)
      implements RecordBody {}

  /** Reports that a member has ended all its work and leaves. */
  record MemberLeft(String memberId) implements RecordBody {}

  /**
   * Reports that a member has applied all records below {@code throughOffset}, with its final
   * transfer counters for the members whose departure is among those records.
   */
  record MemberAcknowledged(String memberId, long throughOffset, List<TransferTotals> transfers)
      implements RecordBody {

    public MemberAcknowledged {
      transfers = List.copyOf(transfers);
    }
  }

  /** Assigns unassigned allowance to a member. */
  record AllowanceClaimed(String memberId, List<TeamUnits> units) implements RecordBody {

    public AllowanceClaimed {
      units = List.copyOf(units);
    }
  }

  /** Returns the allowance of departed members to the unassigned units. */
  record AllowanceReclaimed(List<String> departedMemberIds) implements RecordBody {

    public AllowanceReclaimed {
      departedMemberIds = List.copyOf(departedMemberIds);
    }
  }

  /** Adds an instance of the platform to a pool. */
  record InstanceAdded(String instance, String pool, String dataCentre, String rack, String address)
      implements RecordBody {}

  /** Removes an instance that the platform no longer reports. */
  record InstanceRemoved(String instance) implements RecordBody {}

  /** Moves an instance from one pool to another. */
  record InstanceMoved(String instance, String fromPool, String toPool) implements RecordBody {}

  /** Takes an instance out of use for maintenance. */
  record MaintenanceStarted(String instance) implements RecordBody {}

  /** Ends the maintenance of an instance. */
  record MaintenanceFinished(String instance, boolean isHealthy) implements RecordBody {}

  /** Accepts tasks; each gets exactly one final result. */
  record TasksAccepted(List<TaskSpec> tasks) implements RecordBody {

    public TasksAccepted {
      tasks = List.copyOf(tasks);
    }
  }

  /**
   * Starts attempts; each is accepted or refused independently.
   *
   * @param fencingOffset offset of the last membership record that the owner knows
   */
  record TasksStarted(String memberId, long fencingOffset, List<TaskStart> starts)
      implements RecordBody {

    public TasksStarted {
      starts = List.copyOf(starts);
    }
  }

  /** Ends attempts that have certainly stopped; each is accepted or refused independently. */
  record TasksEnded(String memberId, List<TaskEnd> ends) implements RecordBody {

    public TasksEnded {
      ends = List.copyOf(ends);
    }
  }

  /** Cancels tasks; running ones are stopped by the owner of their worker. */
  record TasksCancelled(List<String> tasks) implements RecordBody {

    public TasksCancelled {
      tasks = List.copyOf(tasks);
    }
  }

  /** Adds a worker, changes its capacity, or removes it; its data centre stays the same. */
  record WorkerChanged(String worker, String dataCentre, TaskSize capacity, boolean isPresent)
      implements RecordBody {}

  /**
   * Holds the whole state after the record at {@code throughOffset}, so that a starting daemon need
   * not replay the log up to it.
   */
  @SuppressWarnings("ArrayRecordComponent") // Never compared.
  record SnapshotTaken(long throughOffset, byte[] state) implements RecordBody {}
}
