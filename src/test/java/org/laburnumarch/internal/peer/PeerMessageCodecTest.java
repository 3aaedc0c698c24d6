package org.laburnumarch.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.laburnumarch.Refusal;
import org.laburnumarch.ResultCode;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceRequest;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransfer;
import org.laburnumarch.internal.peer.PeerMessage.AllowanceTransferAck;
import org.laburnumarch.internal.peer.PeerMessage.MemberHeartbeat;
import org.laburnumarch.internal.peer.PeerMessage.Ping;
import org.laburnumarch.internal.peer.PeerMessage.Pong;
import org.laburnumarch.internal.peer.PeerMessage.PoolDemand;
import org.laburnumarch.internal.peer.PeerMessage.RecordData;
import org.laburnumarch.internal.peer.PeerMessage.Records;
import org.laburnumarch.internal.peer.PeerMessage.RecordsRequest;
import org.laburnumarch.internal.peer.PeerMessage.Report;
import org.laburnumarch.internal.peer.PeerMessage.Snapshot;
import org.laburnumarch.internal.peer.PeerMessage.SnapshotRequest;

class PeerMessageCodecTest {

  @Provide
  Arbitrary<PeerMessage> messages() {
    Arbitrary<String> names = Arbitraries.strings().ofMaxLength(40);
    Arbitrary<Long> numbers = Arbitraries.longs();
    Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(300);
    Arbitrary<Report> reports =
        Combinators.combine(
                numbers,
                numbers,
                Combinators.combine(names, numbers).as(MemberHeartbeat::new).list().ofMaxSize(20),
                Combinators.combine(names, Arbitraries.integers(), Arbitraries.integers())
                    .as(PoolDemand::new)
                    .list()
                    .ofMaxSize(20))
            .as(Report::new);
    return Arbitraries.oneOf(
        Combinators.combine(numbers, reports).as(Ping::new),
        Combinators.combine(numbers, reports).as(Pong::new),
        numbers.map(RecordsRequest::new),
        Combinators.combine(numbers, numbers, bytes)
            .as(RecordData::new)
            .list()
            .ofMaxSize(10)
            .map(Records::new),
        Arbitraries.just(new SnapshotRequest()),
        Combinators.combine(numbers, bytes).as(Snapshot::new),
        Combinators.combine(names, Arbitraries.integers()).as(AllowanceRequest::new),
        Combinators.combine(names, numbers, numbers).as(AllowanceTransfer::new),
        Combinators.combine(names, numbers, numbers).as(AllowanceTransferAck::new));
  }

  /** Guards against a field that is lost, swapped or truncated by encoding and decoding. */
  @Property(tries = 500)
  void shouldDecodeEncodedMessages(@ForAll("messages") PeerMessage message) {
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message)).get())
        .usingRecursiveComparison()
        .isEqualTo(message);
  }

  /** Guards against a missing field that is read as a default. */
  @Property(tries = 300)
  void shouldRefuseTruncatedFrames(@ForAll("messages") PeerMessage message, @ForAll int position) {
    byte[] frame = PeerMessageCodec.encode(message);
    int length = Math.floorMod(position, frame.length);
    assertMalformed(Arrays.copyOf(frame, length));
  }

  /** Guards against trailing bytes that are silently ignored. */
  @Property(tries = 100)
  void shouldRefuseTrailingBytes(
      @ForAll("messages") PeerMessage message, @ForAll @Size(min = 1, max = 9) byte[] extra) {
    byte[] frame = PeerMessageCodec.encode(message);
    byte[] longer = Arrays.copyOf(frame, frame.length + extra.length);
    System.arraycopy(extra, 0, longer, frame.length, extra.length);
    assertMalformed(longer);
  }

  /** Guards against an exception that escapes to the event loop. */
  @Property(tries = 2000)
  void shouldNotThrowOnRandomBytes(@ForAll @Size(max = 400) byte[] frame) {
    assertDecodedOrMalformed(PeerMessageCodec.decode(frame));
    assertThat(LinkFrameCodec.decode(frame)).isNotNull();
  }

  /** Guards against an exception on frames that are almost valid. */
  @Property(tries = 2000)
  void shouldNotThrowOnAChangedByte(
      @ForAll("messages") PeerMessage message, @ForAll int position, @ForAll byte value) {
    byte[] frame = PeerMessageCodec.encode(message);
    frame[Math.floorMod(position, frame.length)] = value;
    assertDecodedOrMalformed(PeerMessageCodec.decode(frame));
  }

  /** Guards against an allocation of the declared size: 2 GiB exceed the heap of the test. */
  @Example
  void shouldNotAllocateDeclaredSizes() {
    byte snapshot = 21;
    byte records = 19;
    byte allowanceRequest = 22;
    assertMalformed(frameDeclaringSize(snapshot, 4, new byte[] {0}, (byte) 0xc6));
    assertMalformed(frameDeclaringSize(records, 3, new byte[0], (byte) 0xdd));
    assertMalformed(frameDeclaringSize(allowanceRequest, 4, new byte[0], (byte) 0xdb));
  }

  private static byte[] frameDeclaringSize(
      byte type, int fields, byte[] precedingBytes, byte header) {
    return ByteBuffer.allocate(3 + precedingBytes.length + 1 + 4)
        .put((byte) (0x90 + fields))
        .put((byte) PeerMessageCodec.VERSION)
        .put(type)
        .put(precedingBytes)
        .put(header)
        .putInt(Integer.MAX_VALUE - 8)
        .array();
  }

  /** Guards against frames of another version that are partly decoded. */
  @Example
  void shouldRefuseAnotherVersion() {
    byte[] frame = PeerMessageCodec.encode(new RecordsRequest(7));
    frame[1] = PeerMessageCodec.VERSION + 1;
    assertMalformed(frame);
  }

  /** Guards against a handshake or heartbeat frame that loses a field. */
  @Example
  void shouldDecodeEncodedLinkFrames() {
    PeerIdentity identity = new PeerIdentity("member", "instance");
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    List<LinkFrame> frames =
        List.of(
            new LinkFrame.Hello(identity, nonce),
            new LinkFrame.Challenge(identity, nonce, new byte[] {1, 2}),
            new LinkFrame.Proof(new byte[] {3}),
            new LinkFrame.Welcome(),
            new LinkFrame.Heartbeat(),
            new LinkFrame.HeartbeatAck());
    for (LinkFrame frame : frames) {
      byte[] encoded = LinkFrameCodec.encode(frame);
      assertThat(LinkFrameCodec.isLinkFrame(encoded)).isTrue();
      assertThat(LinkFrameCodec.decode(encoded).get()).usingRecursiveComparison().isEqualTo(frame);
    }
  }

  private static void assertMalformed(byte[] frame) {
    Either<Refusal, PeerMessage> decoded = PeerMessageCodec.decode(frame);
    assertThat(decoded.isLeft()).as("refused %s", Arrays.toString(frame)).isTrue();
    assertThat(decoded.getLeft().code()).isEqualTo(ResultCode.FRAME_MALFORMED);
  }

  private static void assertDecodedOrMalformed(Either<Refusal, PeerMessage> decoded) {
    if (decoded.isLeft()) {
      assertThat(decoded.getLeft().code()).isEqualTo(ResultCode.FRAME_MALFORMED);
    }
  }
}
