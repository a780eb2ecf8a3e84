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
 * Processor time of a process by kind of thread, as the kernel's scheduler has counted it. Threads
 * that have ended are not counted.
 *
 * @param byKind time of the threads of each kind that there are
 */
public record ProcessorTime(Map<ThreadKind, Duration> byKind) {
  private static final Path OWN_TASKS = Path.of("/proc/self/task");

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
    OTHER;

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
    return read(OWN_TASKS);
  }

  /** Of another process on this machine; empty once it has ended. */
  public static ProcessorTime of(long processId) {
    return read(Path.of("/proc", String.valueOf(processId), "task"));
  }

  static ProcessorTime read(Path tasks) {
    Map<ThreadKind, Duration> byKind = new EnumMap<>(ThreadKind.class);
    try (Stream<Path> threads = Files.list(tasks)) {
      threads.forEach(thread -> add(byKind, thread));
    } catch (IOException | UncheckedIOException untold) {
      return new ProcessorTime(byKind);
    }
    return new ProcessorTime(byKind);
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
