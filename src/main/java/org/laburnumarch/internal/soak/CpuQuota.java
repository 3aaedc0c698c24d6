package org.laburnumarch.internal.soak;

import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.laburnumarch.internal.time.KernelClock;

/**
 * Stops each process that has used its processor time until the period ends, like a bandwidth limit
 * of the scheduler. The limit is exceeded by what the threads of the process use in a check
 * interval, which is deducted from the next period.
 */
final class CpuQuota implements AutoCloseable {

  private static final long PERIOD_NS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(1) / 2;

  // Signals of Linux.
  private static final int SIGCONT = 18;
  private static final int SIGSTOP = 19;

  /** The clock of the processor time of a process, in the lowest bits of its id. */
  private static final int PROCESS_CPU_CLOCK = 2;

  private static final int CLOCK_TYPE_BITS = 3;

  private final List<Limit> limits = new ArrayList<>();
  private final long quotaNs;
  private final Thread thread = new Thread(this::enforce, "cpu-quota");
  private volatile boolean isClosed;

  /**
   * Starts to limit processes.
   *
   * @param pids return the id of each process, or nothing while it must not be resumed
   */
  CpuQuota(List<Supplier<OptionalLong>> pids, int quotaMs) {
    this.quotaNs = TimeUnit.MILLISECONDS.toNanos(quotaMs);
    pids.forEach(current -> limits.add(new Limit(current)));
    thread.setDaemon(true);
    thread.start();
  }

  private void enforce() {
    long periodEndsAtNs = System.nanoTime() + PERIOD_NS;
    while (!isClosed) {
      boolean isPeriodOver = System.nanoTime() - periodEndsAtNs >= 0;
      if (isPeriodOver) {
        periodEndsAtNs += PERIOD_NS;
      }
      for (Limit limit : limits) {
        limit.check(isPeriodOver);
      }
      LockSupport.parkNanos(CHECK_INTERVAL_NS);
    }
    limits.forEach(Limit::release);
  }

  /** Lets all processes run again. */
  @Override
  public void close() {
    isClosed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The limit of one process. */
  private final class Limit {
    private final Supplier<OptionalLong> current;
    private long pid;
    private KernelClock cpuClock;

    /** Processor time of the process at which it is stopped. */
    private long stopAtCpuNs;

    private boolean isStopped;

    Limit(Supplier<OptionalLong> current) {
      this.current = current;
    }

    void check(boolean isPeriodOver) {
      OptionalLong running = current.get();
      if (running.isEmpty()) {
        return;
      }
      if (running.getAsLong() != pid) {
        pid = running.getAsLong();
        cpuClock = new KernelClock((int) (~pid << CLOCK_TYPE_BITS) | PROCESS_CPU_CLOCK);
        stopAtCpuNs = quotaNs;
        isStopped = false;
      }
      if (isStopped && !isPeriodOver) {
        return;
      }
      long cpuNs = cpuClock.readNs();
      if (cpuNs < 0) {
        return;
      }
      if (isPeriodOver) {
        stopAtCpuNs = Math.min(cpuNs, stopAtCpuNs) + quotaNs;
      }
      if (isStopped != cpuNs >= stopAtCpuNs) {
        isStopped = !isStopped;
        LibC.kill((int) pid, isStopped ? SIGSTOP : SIGCONT);
      }
    }

    void release() {
      if (isStopped && current.get().equals(OptionalLong.of(pid))) {
        LibC.kill((int) pid, SIGCONT);
      }
    }
  }

  /** The function of the C library. */
  private static final class LibC {

    static {
      Native.register(LibC.class, NativeLibrary.getProcess());
    }

    private LibC() {}

    static native int kill(int pid, int signal);
  }
}
