package org.laburnumarch.internal.platform.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.laburnumarch.internal.platform.StoreClient.KeyedValue;
import org.laburnumarch.internal.platform.StoreClient.WriteOutcome;
import org.laburnumarch.internal.platform.StoreClient.WriterPosition;
import org.laburnumarch.internal.platform.standin.StoreModel.AppendResult;

/**
 * Guards against a store stand-in that is more lenient than the platform's store, which would hide
 * faults of the daemons.
 */
class StoreModelTest {

  private static final String LOG = "keyed.jobs";

  private final StoreModel model = new StoreModel();

  private AppendResult append(String key, long epoch, long sequence) {
    return model.append(
        LOG,
        List.of(new KeyedValue(key, Optional.of(key.getBytes(StandardCharsets.UTF_8)))),
        OptionalLong.empty(),
        Optional.of(new WriterPosition(epoch, sequence)));
  }

  @Nested
  class Writers {

    @Test
    void shouldFenceLowerEpochs() {
      append("a", 2, 0);
      assertThat(append("b", 1, 0).outcome()).isEqualTo(WriteOutcome.FENCED);
      assertThat(model.endOffset(LOG)).isEqualTo(1);
    }

    @Test
    void shouldReturnTheSameResultForARepeatedWrite() {
      AppendResult first = append("a", 1, 0);
      append("b", 1, 1);
      assertThat(append("a", 1, 0)).isEqualTo(first);
      assertThat(model.endOffset(LOG)).isEqualTo(2);
    }

    @Test
    void shouldRejectAGapInTheSequence() {
      append("a", 1, 0);
      assertThat(append("b", 1, 2).outcome()).isEqualTo(WriteOutcome.OUT_OF_SEQUENCE);
    }
  }

  @Nested
  class Conditions {

    @Test
    void shouldRejectAnAppendWhoseExpectedEndDiffers() {
      append("a", 1, 0);
      AppendResult rejected = model.append(LOG, List.of(), OptionalLong.of(0), Optional.empty());
      assertThat(rejected).isEqualTo(new AppendResult(WriteOutcome.CONDITION_FAILED, 1));
    }
  }

  @Nested
  class History {

    @Test
    void shouldKeepTheNewestRecordOfEachKeyWhenHistoryIsDropped() {
      append("a", 1, 0);
      append("b", 1, 1);
      model.dropHistory(LOG);
      assertThat(model.firstOffset(LOG)).isEqualTo(2);
      assertThat(model.newest(LOG, "", 10)).extracting("key").containsExactly("a", "b");
    }
  }
}
