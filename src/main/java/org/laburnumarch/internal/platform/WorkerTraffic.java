package org.laburnumarch.internal.platform;

/** Is told the size of each message to and from workers, without HTTP headers. */
public interface WorkerTraffic {

  /**
   * A request is sent.
   *
   * @param kind {@code start}, {@code stop}, {@code pace} or {@code report}
   */
  void onRequest(String kind, int bytes);

  /** A response to a request of the given kind has arrived. */
  void onResponse(String kind, int bytes);
}
