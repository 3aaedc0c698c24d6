package org.laburnumarch.internal.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.schedule.WorkerListing;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes the enrolment, the list of workers to which orders may be sent, as MessagePack. */
final class EnrolmentCodec {

  private static final int FORMAT = 1;

  private EnrolmentCodec() {}

  static byte[] encode(List<WorkerListing> workers) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT).packArrayHeader(workers.size());
      for (WorkerListing worker : workers) {
        out.packString(worker.id())
            .packString(worker.service())
            .packString(worker.address().getHostString())
            .packInt(worker.address().getPort())
            .packString(worker.dataCentre())
            .packLong(worker.capacity().cpuMillis())
            .packLong(worker.capacity().memoryMb())
            .packLong(worker.capacity().gpus())
            .packArrayHeader(worker.labels().size());
        for (String label : worker.labels()) {
          out.packString(label);
        }
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static List<WorkerListing> decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new IOException("unsupported format " + format + " of the enrolment");
      }
      int count = in.unpackArrayHeader();
      List<WorkerListing> workers = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        workers.add(decodeOne(in));
      }
      return workers;
    }
  }

  private static WorkerListing decodeOne(MessageUnpacker in) throws IOException {
    String id = in.unpackString();
    String service = in.unpackString();
    InetSocketAddress address = new InetSocketAddress(in.unpackString(), in.unpackInt());
    String dataCentre = in.unpackString();
    Resources capacity = new Resources(in.unpackLong(), in.unpackLong(), in.unpackLong());
    int labelCount = in.unpackArrayHeader();
    List<String> labels = new ArrayList<>(labelCount);
    for (int i = 0; i < labelCount; i++) {
      labels.add(in.unpackString());
    }
    return new WorkerListing(id, service, address, dataCentre, capacity, labels, false, 0, 0);
  }
}
