package org.laburnumarch.internal.node;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.http.EventLoopThread;
import org.laburnumarch.internal.link.LinkMessage.OperatorRecord;
import org.laburnumarch.internal.platform.StoreClient;
import org.laburnumarch.internal.time.SuspendAwareClock;

/** Tests which records of operators a daemon applies; nothing is read from a store. */
class OperatorWatchTest {

  private static final String OUT_OF_SERVICE = "evacuate/dc";
  private static final byte[] EMPTY = "{}".getBytes(UTF_8);

  private final EventLoopThread loop = new EventLoopThread();
  private final StoreClient store =
      new StoreClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), loop);
  private final OperatorWatch operators = new OperatorWatch(store, loop, new SuspendAwareClock());

  @AfterEach
  void close() {
    operators.close();
    store.close();
    loop.close();
  }

  private static byte[] config(int version, String key) {
    return ("{\"version\":"
            + version
            + ",\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[{\"name\":\"t\","
            + "\"apiKeys\":[\""
            + key
            + "\"]}]}")
        .getBytes(UTF_8);
  }

  /**
   * Guards against a data centre that stays out of service because an owner sent its copy of a
   * record that has been deleted since.
   */
  @Test
  void shouldNotApplyAnOlderCopyOfADeletedRecord() {
    operators.apply(OUT_OF_SERVICE, Optional.of(EMPTY), 5);
    operators.apply(OUT_OF_SERVICE, Optional.empty(), 8);
    operators.onRecordFromOwner(new OperatorRecord(OUT_OF_SERVICE, EMPTY, 5));
    assertThat(operators.outOfServiceDataCentres()).isEmpty();
    operators.onRecordFromOwner(new OperatorRecord(OUT_OF_SERVICE, EMPTY, 9));
    assertThat(operators.outOfServiceDataCentres()).containsExactly("dc");
  }

  /** Guards against a withdrawn key that is in use again through an older configuration. */
  @Test
  void shouldNotReturnToAnOlderConfiguration() {
    operators.apply("config", Optional.of(config(7, "new")), 12);
    operators.onRecordFromOwner(new OperatorRecord("config", config(6, "withdrawn"), 3));
    operators.apply("config", Optional.of(config(6, "withdrawn")), 14);
    assertThat(operators.config().teamOfKey("withdrawn")).isEmpty();
    assertThat(operators.config().teamOfKey("new")).contains("t");
  }

  /** Guards against one malformed record after which no other is applied. */
  @Test
  void shouldGoOnAfterAMalformedRecord() {
    operators.apply("config", Optional.of("{\"version\":".getBytes(UTF_8)), 2);
    operators.apply("wave/1", Optional.of("[]".getBytes(UTF_8)), 3);
    operators.apply("config", Optional.of(config(1, "k")), 4);
    assertThat(operators.config().version()).isEqualTo(1);
  }

  /** Guards against callbacks to owners of the past, which would pile up with each takeover. */
  @Test
  void shouldNotNotifyARemovedListener() {
    int[] calls = new int[1];
    Runnable listener = () -> calls[0]++;
    operators.onChange(listener);
    operators.apply(OUT_OF_SERVICE, Optional.of(EMPTY), 1);
    operators.removeListener(listener);
    operators.apply(OUT_OF_SERVICE, Optional.of(EMPTY), 2);
    assertThat(calls[0]).isEqualTo(1);
  }
}
