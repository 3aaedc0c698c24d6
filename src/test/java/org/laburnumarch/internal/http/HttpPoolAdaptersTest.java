package org.laburnumarch.internal.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.servicetalk.http.api.HttpRequestMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.emulator.InstancesStandIn;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PlatformException;
import org.laburnumarch.spi.PoolControl;

class HttpPoolAdaptersTest {

  private static final ListedInstance MINION =
      new ListedInstance(
          "m-1",
          ListedInstance.Kind.MINION,
          "Kollam",
          "r-1",
          "127.0.0.1:9000",
          "booking",
          ListedInstance.State.LIVE);

  private InstancesStandIn standIn;
  private HttpInstanceList list;
  private HttpPoolControl control;

  @BeforeEach
  void start() throws Exception {
    standIn =
        InstancesStandIn.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 30, 30);
    list = new HttpInstanceList(standIn.address());
    control = new HttpPoolControl(standIn.address());
    sendControl(
        "{\"add\":[{\"id\":\"m-1\",\"kind\":\"MINION\",\"dataCentre\":\"Kollam\",\"rack\":\"r-1\","
            + "\"address\":\"127.0.0.1:9000\",\"pool\":\"booking\"}]}");
  }

  @AfterEach
  void stop() {
    list.close();
    control.close();
    standIn.close();
  }

  private void sendControl(String json) {
    try (PlatformHttpClient operator = new PlatformHttpClient(standIn.address())) {
      int status =
          operator
              .call(
                  HttpRequestMethod.POST,
                  "/control",
                  json.getBytes(StandardCharsets.UTF_8),
                  2_000,
                  PlatformHttpClient.Response::status)
              .toCompletableFuture()
              .join();
      assertThat(status).isEqualTo(200);
    }
  }

  private List<ListedInstance> fetch() {
    return list.fetch().toCompletableFuture().join();
  }

  private PoolControl.Status status() {
    return control.status("m-1").toCompletableFuture().join();
  }

  /** Guards against swapped fields in the instance list. The stand-in shows changes after a lag. */
  @Test
  void shouldShowChangesAfterALag() {
    await().until(() -> fetch().equals(List.of(MINION)));
    sendControl("{\"leaving\":[\"m-1\"]}");
    await().until(() -> fetch().get(0).state() == ListedInstance.State.LEAVING);
    sendControl("{\"remove\":[\"m-1\"]}");
    await().until(() -> fetch().isEmpty());
  }

  /** Guards against a failed fetch that returns an empty list. */
  @Test
  void shouldFailDuringAnOutage() {
    sendControl("{\"outage\":\"unavailable\"}");
    Assertions.assertThatThrownBy(this::fetch)
        .isInstanceOf(CompletionException.class)
        .hasCauseInstanceOf(PlatformException.class);
  }

  /**
   * Guards against a reboot of an instance that has not been drained, and a failure not reported.
   */
  @Test
  void shouldDrainAndReboot() {
    Assertions.assertThatThrownBy(() -> control.reboot("m-1").toCompletableFuture().join())
        .hasCauseInstanceOf(PlatformException.class);
    control.drain("m-1").toCompletableFuture().join();
    await().until(() -> status() == PoolControl.Status.DRAINED);
    sendControl("{\"failReboots\":[\"m-1\"]}");
    control.reboot("m-1").toCompletableFuture().join();
    await().until(() -> status() == PoolControl.Status.FAILED);
    control.reboot("m-1").toCompletableFuture().join();
    await().until(() -> status() == PoolControl.Status.SERVING);
  }
}
