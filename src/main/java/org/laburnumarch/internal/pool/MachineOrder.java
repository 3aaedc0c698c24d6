package org.laburnumarch.internal.pool;

/** An order for the machine service. */
public sealed interface MachineOrder {

  /** Returns the instance that it is for. */
  String machine();

  /**
   * Move an instance.
   *
   * @param pool the service whose pool it joins
   */
  record Move(String machine, String pool) implements MachineOrder {}

  /**
   * Take an instance into maintenance.
   *
   * @param wave number of the wave that asks for it
   */
  record Maintain(String machine, long wave) implements MachineOrder {}
}
