package org.laburnumarch.spi;

/**
 * One entry of the instance list.
 *
 * @param id the platform's id of the instance; never reused
 * @param kind what runs on it
 * @param dataCentre the data centre of the instance
 * @param rack the rack of the instance
 * @param address IP address and port of its service, for example {@code 10.0.0.1:8080}
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

  /** Whether the platform keeps an instance or is about to remove it. */
  public enum State {
    LIVE,
    LEAVING
  }
}
