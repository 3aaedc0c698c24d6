package org.laburnumarch.internal.state;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;

/**
 * Encodes and decodes records of the control log: one byte for the format version, then a
 * MessagePack map.
 *
 * <p>Unknown fields are refused rather than skipped: a daemon that skipped one could apply the
 * record differently from a daemon that knows it.
 */
public final class RecordCodec {

  /** The maximum length of an encoded record. */
  public static final int MAX_RECORD_BYTES = 1_000_000;

  /** The format version that is written, and the only one that can be read. */
  public static final byte FORMAT_VERSION = 1;

  private static final int MAX_ID_LENGTH = 64;
  private static final int MAX_AUTHOR_LENGTH = 128;
  private static final ObjectMapper MAPPER = createMapper();

  private RecordCodec() {}

  /** Returns the encoded record, or a refusal if it is too long or cannot be serialized. */
  public static Either<Refusal, byte[]> encode(Envelope envelope) {
    try {
      byte[] fields = MAPPER.writeValueAsBytes(envelope);
      byte[] bytes = new byte[fields.length + 1];
      bytes[0] = FORMAT_VERSION;
      System.arraycopy(fields, 0, bytes, 1, fields.length);
      return bytes.length > MAX_RECORD_BYTES ? tooLong(bytes.length) : Either.right(bytes);
    } catch (JsonProcessingException e) {
      return malformed("it cannot be serialized: " + e.getOriginalMessage());
    }
  }

  /**
   * Returns the decoded record, or a refusal if the bytes are malformed or of another format
   * version; never throws.
   */
  public static Either<Refusal, Envelope> decode(byte[] bytes) {
    if (bytes.length > MAX_RECORD_BYTES) {
      return tooLong(bytes.length);
    }
    if (bytes.length < 2) {
      return malformed("it has no content");
    }
    if (bytes[0] != FORMAT_VERSION) {
      return Either.left(
          Refusal.of(
              ResultCode.RECORD_VERSION_UNSUPPORTED,
              "the record has format %d, and this program reads format %d; update the older of the two"
                  .formatted(bytes[0], FORMAT_VERSION)));
    }
    try {
      byte[] fields = Arrays.copyOfRange(bytes, 1, bytes.length);
      if (!MessagePackMapper.isWellFormed(fields)) {
        return malformed("its length does not match its content");
      }
      return checkLengths(MAPPER.readValue(fields, Envelope.class));
    } catch (IOException | RuntimeException e) {
      return malformed(e.getClass().getSimpleName());
    }
  }

  private static Either<Refusal, Envelope> checkLengths(Envelope envelope) {
    if (envelope.operationId().isBlank() || envelope.operationId().length() > MAX_ID_LENGTH) {
      return malformed("its operation id is empty or too long");
    }
    if (envelope.author().length() > MAX_AUTHOR_LENGTH) {
      return malformed("its author's name is too long");
    }
    return Either.right(envelope);
  }

  private static <T> Either<Refusal, T> tooLong(int lengthBytes) {
    return malformed(
        "it has %d bytes, and at most %d are allowed".formatted(lengthBytes, MAX_RECORD_BYTES));
  }

  private static <T> Either<Refusal, T> malformed(String fault) {
    return Either.left(
        Refusal.of(ResultCode.RECORD_MALFORMED, "the record is malformed: " + fault));
  }

  private static ObjectMapper createMapper() {
    ObjectMapper mapper = MessagePackMapper.create();
    mapper.addMixIn(RecordBody.class, TypedByShortName.class);
    for (RecordKind kind : RecordKind.values()) {
      mapper.registerSubtypes(new NamedType(kind.bodyType(), kind.shortName()));
    }
    return mapper;
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  private interface TypedByShortName {}
}
