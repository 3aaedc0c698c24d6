package org.laburnumarch.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laburnumarch.internal.job.FleetConfig;
import org.laburnumarch.internal.job.JobSpec;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.WorkerListing;

/** Guards against messages of the platform or a caller that are decoded only in part. */
class StoreRecordsTest {

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Nested
  class Configuration {

    @Test
    void shouldRouteByHostAndLongestPrefix() throws MalformedMessageException {
      FleetConfig config =
          StoreRecords.decodeConfig(
              bytes(
                  "{'version':7,'routes':["
                      + "{'name':'short','host':'h','pathPrefix':'/a/','service':'s'},"
                      + "{'name':'long','host':'h','pathPrefix':'/a/b/','service':'s'}],"
                      + "'services':[{'name':'s','spare':true}],"
                      + "'tenants':[{'name':'t','apiKeys':['k'],'weight':2,"
                      + "'maxCount':{'cpu':5,'memMb':0,'gpus':0}}]}"));
      assertThat(config.route("h", "/a/b/1").orElseThrow().name()).isEqualTo("long");
      assertThat(config.route("h", "/a/1").orElseThrow().name()).isEqualTo("short");
      assertThat(config.route("other", "/a/1")).isEmpty();
      assertThat(config.teamOfKey("k")).contains("t");
      assertThat(config.team("t").orElseThrow().limit()).isEqualTo(new Resources(5, 0, 0));
      assertThat(config.service("s").orElseThrow().isSpare()).isTrue();
    }

    @Test
    void shouldRefuseAConfigurationWithoutVersion() {
      assertThatThrownBy(() -> StoreRecords.decodeConfig(bytes("{}")))
          .isInstanceOf(MalformedMessageException.class)
          .hasMessageContaining("version");
    }
  }

  @Nested
  class Registry {

    private static final String ENTRY =
        "{'service':'s','address':'10.0.0.1:80','zone':'z','state':'STATE',"
            + "'capacity':{'cpu':16000,'memMb':100,'gpus':0},'labels':['a','r1-3'],'born':17}";

    @Test
    void shouldDecodeAWorker() throws MalformedMessageException {
      WorkerListing worker =
          StoreRecords.decodeWorker("i-1", bytes(ENTRY.replace("STATE", "draining")));
      assertThat(worker.isDraining()).isTrue();
      assertThat(worker.rack()).isEqualTo("r1-3");
      assertThat(worker.startedEpochMs()).isEqualTo(17);
    }

    @Test
    void shouldRefuseAMalformedRegistryEntry() {
      assertThatThrownBy(() -> StoreRecords.decodeWorker("i-1", bytes(ENTRY)))
          .isInstanceOf(MalformedMessageException.class);
      assertThatThrownBy(() -> StoreRecords.decodeWorker("i-1", new byte[] {1, 2}))
          .isInstanceOf(MalformedMessageException.class);
      assertThatThrownBy(
              () -> StoreRecords.decodeWorker("i-1", bytes("{'service':3,'state':'ready'}")))
          .isInstanceOf(MalformedMessageException.class);
    }
  }

  @Nested
  class RegistryEntriesOfOtherWriters {

    private static final String NESTED = "[".repeat(100_000) + "]".repeat(100_000);
    private static final String HUGE_NUMBER = "99999999999999999999999999999999999999999999";

    private static void assertRefused(String id, String entry) {
      assertThatThrownBy(() -> StoreRecords.decodeWorker(id, bytes(entry)))
          .isInstanceOf(MalformedMessageException.class);
    }

    private static String entry(String address, String cpu, String labels) {
      return "{'service':'s','address':'"
          + address
          + "','zone':'z','state':'ready','labels':"
          + labels
          + ",'capacity':{'cpu':"
          + cpu
          + ",'memMb':100,'gpus':0},'born':17}";
    }

    /** Guards against a worker with a capacity that overflows, and so distorts its whole pool. */
    @ParameterizedTest
    @ValueSource(strings = {HUGE_NUMBER, "1e400", "-1e400", "-1", "9223372036854775807", "{}"})
    void shouldBeRefusedIfANumberIsOutOfRange(String cpu) {
      assertRefused("i-1", entry("10.0.0.1:80", cpu, "[]"));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:" + HUGE_NUMBER, ":80"})
    void shouldBeRefusedIfTheAddressIsNone(String address) {
      assertRefused("i-1", entry(address, "16000", "[]"));
    }

    /** Guards against a stack overflow, which ends the reading of the registry. */
    @Test
    void shouldBeRefusedIfTheyAreNestedVeryDeeply() {
      assertRefused("i-1", NESTED);
      assertRefused("i-1", entry("10.0.0.1:80", "16000", NESTED));
    }

    @ParameterizedTest
    @ValueSource(strings = {"'a'", "[1]", "[[]]", "{}"})
    void shouldBeRefusedIfLabelsAreNoTexts(String labels) {
      assertRefused("i-1", entry("10.0.0.1:80", "16000", labels));
    }

    /** Guards against an id that adds headers to the orders for its worker, or lines to the log. */
    @ParameterizedTest
    @ValueSource(strings = {"", "i 1", "i\n1", "i\r\nX-Other: 1", "\u00fc"})
    void shouldBeRefusedIfTheIdIsNoWord(String id) {
      assertRefused(id, entry("10.0.0.1:80", "16000", "[]"));
    }
  }

  @Nested
  class Submissions {

    @Test
    void shouldDecodeAJob() throws MalformedMessageException {
      JobSpec job =
          SubmittedJobs.decode(
              "5c0e7a21d94b36f8",
              "q",
              "t",
              bytes("{'spec':'x','steps':[{'count':4,'cpu':500},{'count':1,'after':[0]}]}"),
              5);
      assertThat(job.steps()).hasSize(2);
      assertThat(job.steps().get(1).after()).containsExactly(0);
    }

    @Test
    void shouldRefuseAStepThatDependsOnItself() {
      assertThatThrownBy(
              () ->
                  SubmittedJobs.decode(
                      "5c0e7a21d94b36f8",
                      "q",
                      "t",
                      bytes("{'spec':'x','steps':[{'count':1,'after':[0]}]}"),
                      5))
          .isInstanceOf(MalformedMessageException.class)
          .hasMessageContaining("earlier steps");
    }
  }
}
