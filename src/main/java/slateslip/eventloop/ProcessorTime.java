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
 * Processor time of a process by kind of thread, as the kernel's scheduler has counted it. Of
 * threads that have ended only the sum is known, to a hundredth of a second.
 *
 * @param byKind time of the threads of each kind that there are
 */
public record ProcessorTime(Map<ThreadKind, Duration> byKind) {
  private static final Path OWN_PROCESS = Path.of("/proc/self");
  private static final Path PROCESSES = Path.of("/proc");

  /** A tick of the kernel's clock, in which it tells the time of a whole process. */
  private static final long TICK_NANOS = 10_000_000;

  /** Fields of {@code stat} behind the name, which may hold spaces: user and system time. */
  private static final int USER_TIME_FIELD = 12;

  private static final int SYSTEM_TIME_FIELD = 13;

  /** Kinds of threads of a Java process. */
  public enum ThreadKind {
    /** The thread that starts the program; its name is that of the command. */
    MAIN,
    /** Netty's event loops. */
    EVENT_LOOP,
    /** The just-in-time compiler. */
    COMPILER,
    /** The virtual machine's own threads: collector, signals, safe points. */
    VIRTUAL_MACHINE,
    /** All other threads of the program. */
    OTHER,
    /** Threads that have ended: those of the compiler come and go with its work. */
    ENDED;

    /** The name of this kind in metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** The kind of a thread with this name, as the kernel shows it: cut after 15 characters. */
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
      boolean ofMachine =
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
      return ofMachine ? VIRTUAL_MACHINE : OTHER;
    }
  }

  /** Of this process; empty where the kernel does not tell it. */
  public static ProcessorTime ofThisProcess() {
    return read(OWN_PROCESS);
  }

  /** Of another process on this machine; empty once it has ended. */
  public static ProcessorTime of(long processId) {
    return read(PROCESSES.resolve(String.valueOf(processId)));
  }

  static ProcessorTime read(Path process) {
    Map<ThreadKind, Duration> byKind = new EnumMap<>(ThreadKind.class);
    try (Stream<Path> threads = Files.list(process.resolve("task"))) {
      threads.forEach(thread -> add(byKind, thread));
      ProcessorTime running = new ProcessorTime(byKind);
      Duration ended = wholeProcess(process).minus(running.total());
      if (!ended.isNegative()) {
        byKind.put(ThreadKind.ENDED, ended);
      }
    } catch (IOException | UncheckedIOException untold) {
      return new ProcessorTime(byKind);
    }
    return new ProcessorTime(byKind);
  }

  private static Duration wholeProcess(Path process) {
    try {
      String stat = Files.readString(process.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 1).split(" ", -1);
      long ticks =
          Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
      return Duration.ofNanos(ticks * TICK_NANOS);
    } catch (IOException | NumberFormatException | IndexOutOfBoundsException untold) {
      return Duration.ZERO;
    }
  }

  private static void add(Map<ThreadKind, Duration> byKind, Path thread) {
    try {
      ThreadKind kind = ThreadKind.of(Files.readString(thread.resolve("comm")).strip());
      String[] counters = Files.readString(thread.resolve("schedstat")).split(" ", -1);
      byKind.merge(kind, Duration.ofNanos(Long.parseLong(counters[0])), Duration::plus);
    } catch (IOException | NumberFormatException ended) {
      return; // the thread has ended since the folder was listed
    }
  }

  /** Time of the threads of one kind. */
  public Duration of(ThreadKind kind) {
    return byKind.getOrDefault(kind, Duration.ZERO);
  }

  /** Time of all threads. */
  public Duration total() {
    return byKind.values().stream().reduce(Duration.ZERO, Duration::plus);
  }

  /** What was used since an earlier reading. */
  public ProcessorTime since(ProcessorTime earlier) {
    Map<ThreadKind, Duration> difference = new EnumMap<>(ThreadKind.class);
    byKind.forEach((kind, time) -> difference.put(kind, time.minus(earlier.of(kind))));
    return new ProcessorTime(difference);
  }
}
