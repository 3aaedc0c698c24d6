package org.laburnumarch.spi;

/**
 * One entry of the instance list.
 *
 * @param id the platform's name for the instance; never used again for another one
 * @param kind what runs on it
 * @param dataCentre the data centre that it stands in
 * @param rack the rack that it stands in
 * @param address IP number and port of its service, {@code 10.0.0.1:8080}
 * @param pool the pool that the platform created it for; may be empty
 * @param state live or leaving
 */
public record ListedInstance(
    String id,
    Kind kind,
    String dataCentre,
    String rack,
    String address,
    String pool,
    State state) {

  /** What runs on an instance. */
  public enum Kind {
    ENTRY,
    MINION,
    WORKER
  }

  /** What the platform intends with an instance. */
  public enum State {
    LIVE,
    LEAVING
  }
}
