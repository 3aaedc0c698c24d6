package org.laburnumarch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ResultCodeTest {

  @Test
  void shouldGiveEachCodeAUniqueNumber() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
  }
}
