package org.laburnumarch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodeTableTest {

  // Guards against codes that operators cannot look up, and against a table whose outcomes differ
  // from those of the program.
  @Test
  void shouldListEveryCodeWithItsOutcomeAndRemedy() throws IOException {
    List<String[]> rows =
        Files.readAllLines(Path.of("docs/result-codes.md")).stream()
            .filter(line -> line.matches("\\| \\d{4} .*"))
            .map(line -> line.split("\\|"))
            .toList();

    assertThat(rows)
        .extracting(
            row -> String.join(",", row[1].trim(), row[2].trim(), row[3].trim(), row[4].trim()))
        .containsExactlyElementsOf(
            Arrays.stream(ResultCode.values())
                .map(
                    code ->
                        code.number() + "," + code + "," + code.outcome() + "," + code.httpStatus())
                .toList());
    assertThat(rows).allMatch(row -> row.length == 7 && !row[5].isBlank() && !row[6].isBlank());
  }
}
