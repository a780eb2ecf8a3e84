package slateslip.eventloop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * CPU time of a process by kind of thread, as measured by the kernel's scheduler. For threads that
 * have ended, only the sum of their CPU time is known, with a resolution of a hundredth of a
 * second.
 *
 * @param byKind the CPU time of each kind of thread; a kind without threads is absent
 */
public record ProcessorTime(Map<ThreadKind, Duration> byKind) {
  private static final Path OWN_PROCESS = Path.of("/proc/self");
  private static final Path PROCESSES = Path.of("/proc");

  /**
   * The length in nanoseconds of a tick of the kernel's clock, the unit in which the kernel reports
   * the CPU time of a whole process.
   */
  private static final long TICK_NANOS = 10_000_000;

  /**
   * Index of the user time among the fields of {@code stat} after the process name; the name is
   * skipped first because the name may contain spaces.
   */
  private static final int USER_TIME_FIELD = 12;

  /** Index of the system time among the fields of {@code stat} after the process name. */
  private static final int SYSTEM_TIME_FIELD = 13;

  /** Kinds of threads of a Java process. */
  public enum ThreadKind {
    /** The main thread of the process, whose name is that of the command. */
    MAIN,
    /** The threads of Netty's event loops. */
    EVENT_LOOP,
    /** The threads of the just-in-time compiler. */
    COMPILER,
    /**
     * The virtual machine's own threads, for example for garbage collection, signals and
     * safepoints.
     */
    VIRTUAL_MACHINE,
    /** All other threads of the program. */
    OTHER,
    /**
     * Threads that have ended, such as compiler threads, which the virtual machine starts and ends
     * as needed.
     */
    ENDED;

    /** Returns the name of this kind in metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind of the thread with the given name. The kernel truncates thread names to 15
     * characters.
     */
    static ThreadKind of(String threadName) {
      if (threadName.equals("java") || threadName.equals("main")) {
        return MAIN;
      }
      if (threadName.startsWith("multiThreadIoEv")) {
        return EVENT_LOOP;
      }
      if (threadName.contains("CompilerThre")) {
        return COMPILER;
      }
      boolean ofVirtualMachine =
          threadName.startsWith("VM ")
              || threadName.startsWith("GC ")
              || threadName.startsWith("Signal Dispatch")
              || threadName.startsWith("Reference Handl")
              || threadName.startsWith("Finalizer")
              || threadName.startsWith("Common-Cleaner")
              || threadName.startsWith("Monitor Deflati")
              || threadName.startsWith("Service Thread")
              || threadName.startsWith("Notification Th")
              || threadName.startsWith("Sweeper thread");
      return ofVirtualMachine ? VIRTUAL_MACHINE : OTHER;
    }
  }

  /**
   * Returns the CPU time of this process, without entries if the kernel does not report CPU times.
   */
  public static ProcessorTime ofThisProcess() {
    return read(OWN_PROCESS);
  }

  /**
   * Returns the CPU time of another process on this machine, without entries if the process has
   * ended.
   */
  public static ProcessorTime of(long processId) {
    return read(PROCESSES.resolve(String.valueOf(processId)));
  }

  static ProcessorTime read(Path process) {
    Map<ThreadKind, Duration> byKind = new EnumMap<>(ThreadKind.class);
    try (Stream<Path> threads = Files.list(process.resolve("task"))) {
      threads.forEach(thread -> addThread(byKind, thread));
      ProcessorTime running = new ProcessorTime(byKind);
      Duration ended = readProcessTotal(process).minus(running.total());
      if (!ended.isNegative()) {
        byKind.put(ThreadKind.ENDED, ended);
      }
    } catch (IOException | UncheckedIOException unavailable) {
      return new ProcessorTime(byKind);
    }
    return new ProcessorTime(byKind);
  }

  private static Duration readProcessTotal(Path process) {
    try {
      String stat = Files.readString(process.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 1).split(" ", -1);
      long ticks =
          Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
      return Duration.ofNanos(ticks * TICK_NANOS);
    } catch (IOException | NumberFormatException | IndexOutOfBoundsException unavailable) {
      return Duration.ZERO;
    }
  }

  private static void addThread(Map<ThreadKind, Duration> byKind, Path thread) {
    try {
      ThreadKind kind = ThreadKind.of(Files.readString(thread.resolve("comm")).strip());
      String[] counters = Files.readString(thread.resolve("schedstat")).split(" ", -1);
      byKind.merge(kind, Duration.ofNanos(Long.parseLong(counters[0])), Duration::plus);
    } catch (IOException | NumberFormatException ended) {
      return; // The thread has ended since the folder was listed.
    }
  }

  /** Returns the CPU time of the threads of one kind, or zero if there are none. */
  public Duration of(ThreadKind kind) {
    return byKind.getOrDefault(kind, Duration.ZERO);
  }

  /** Returns the CPU time of all threads, including the threads that have ended. */
  public Duration total() {
    return byKind.values().stream().reduce(Duration.ZERO, Duration::plus);
  }

  /** Returns the CPU time used since an earlier reading, by kind of thread. */
  public ProcessorTime since(ProcessorTime earlier) {
    Map<ThreadKind, Duration> difference = new EnumMap<>(ThreadKind.class);
    byKind.forEach((kind, time) -> difference.put(kind, time.minus(earlier.of(kind))));
    return new ProcessorTime(difference);
  }
}
