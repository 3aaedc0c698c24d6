package org.laburnumarch.internal.pool;

/** An order to the machine service that concerns one instance. */
public sealed interface MachineOrder {

  /** Returns the name of the instance. */
  String machine();

  /**
   * Moves an instance to another pool.
   *
   * @param pool name of the service whose pool the instance joins
   */
  record Move(String machine, String pool) implements MachineOrder {}

  /**
   * Starts the maintenance of an instance.
   *
   * @param wave number of the maintenance wave that includes the instance
   */
  record Maintain(String machine, long wave) implements MachineOrder {}
}
