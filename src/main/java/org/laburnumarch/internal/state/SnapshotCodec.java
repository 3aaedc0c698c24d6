package org.laburnumarch.internal.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.text.FleetText;
import org.laburnumarch.internal.text.TextChecker;

/**
 * Encodes and decodes snapshots of the whole state: one byte for the format version, then the
 * compressed image.
 */
public final class SnapshotCodec {

  /**
   * The maximum size of an uncompressed image; a state of the size that the system is designed for
   * has about 3 MB.
   */
  static final int MAX_IMAGE_BYTES = 16 << 20;

  private static final byte FORMAT_VERSION = 1;
  private static final int CHUNK_BYTES = 16 << 10;
  private static final ObjectMapper MAPPER = MessagePackMapper.create();

  private final TextChecker checker;

  /** Creates a codec that checks the configuration text of decoded states with {@code checker}. */
  public SnapshotCodec(TextChecker checker) {
    this.checker = checker;
  }

  /** Returns the compressed bytes of a state. */
  public byte[] encode(ControlState state) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(imageBytes(state));
      deflater.finish();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(FORMAT_VERSION);
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!deflater.finished()) {
        bytes.write(chunk, 0, deflater.deflate(chunk));
      }
      return bytes.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns the decoded state, or a refusal if the bytes are malformed or the state is invalid;
   * never throws.
   */
  public Either<Refusal, ControlState> decode(byte[] bytes) {
    return inflate(bytes).flatMap(this::decodeImage);
  }

  /** Returns the digest of the encoded state, equal to {@link StateDigest#of} of that state. */
  public Either<Refusal, String> digest(byte[] bytes) {
    return inflate(bytes).map(StateDigest::ofImage);
  }

  /** Returns the canonical serialized form of a state. */
  static byte[] imageBytes(ControlState state) {
    try {
      return MAPPER.writeValueAsBytes(SnapshotImage.of(state));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the state", e);
    }
  }

  private Either<Refusal, ControlState> decodeImage(byte[] imageBytes) {
    try {
      if (!MessagePackMapper.isWellFormed(imageBytes)) {
        return refuse("its length does not match its content");
      }
      SnapshotImage image = MAPPER.readValue(imageBytes, SnapshotImage.class);
      return checkedText(image).map(image::state).flatMap(SnapshotCodec::checkState);
    } catch (IOException | RuntimeException e) {
      return refuse(e.getClass().getSimpleName());
    }
  }

  private Either<Refusal, Optional<FleetText>> checkedText(SnapshotImage image) {
    if (image.textVersion() == 0) {
      return Either.right(Optional.empty());
    }
    return checker
        .check(image.textSections())
        .map(Optional::of)
        .mapLeft(
            faults ->
                fault("this version refuses its configuration text: " + faults.head().message()));
  }

  private static Either<Refusal, ControlState> checkState(ControlState state) {
    if (state.nextOffset() < 0 || state.textVersion() < 0) {
      return refuse("an offset or version is negative");
    }
    if (!state.departures().keySet().forAll(id -> isDeparted(state, id))) {
      return refuse("a member that has not departed has a departure entry");
    }
    return Invariants.check(ControlState.empty(), state)
        .mapLeft(violation -> fault(violation.message()));
  }

  private static boolean isDeparted(ControlState state, String memberId) {
    return state.members().get(memberId).exists(member -> !member.isActive());
  }

  private static Either<Refusal, byte[]> inflate(byte[] bytes) {
    if (bytes.length == 0 || bytes[0] != FORMAT_VERSION) {
      return Either.left(
          Refusal.of(
              ResultCode.RECORD_VERSION_UNSUPPORTED,
              "the snapshot has another format than %d; use one of this version"
                  .formatted(FORMAT_VERSION)));
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes, 1, bytes.length - 1);
      ByteArrayOutputStream image = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(chunk);
        if (count == 0 || image.size() + count > MAX_IMAGE_BYTES) {
          return refuse("it ends early or is too large");
        }
        image.write(chunk, 0, count);
      }
      return Either.right(image.toByteArray());
    } catch (DataFormatException e) {
      return refuse("it is not compressed as expected");
    } finally {
      inflater.end();
    }
  }

  private static <T> Either<Refusal, T> refuse(String reason) {
    return Either.left(fault(reason));
  }

  private static Refusal fault(String reason) {
    return Refusal.of(ResultCode.RECORD_MALFORMED, "the snapshot cannot be used: " + reason);
  }
}
