package slateslip.loadbalancer.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the system and the JVM tell of a process of this run. */
public final class ProcessFigures {
  /** The system counts processor time in these, since ever and on every architecture. */
  private static final double TICKS_PER_SECOND = 100;

  /** Fields behind the command's name, which may hold spaces: 14 and 15 of the whole. */
  private static final int USER = 11;

  private static final int SYSTEM = 12;
  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final Pattern HEAP = Pattern.compile("(?:generation|new|tenured).*?used (\\d+)K");
  private static final long TOOL_SECONDS = 20;

  private ProcessFigures() {}

  /** Processor time it has spent, user's and system's, in seconds; NaN once it has ended. */
  public static double cpuSeconds(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
      return (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) / TICKS_PER_SECOND;
    } catch (IOException e) {
      return Double.NaN;
    }
  }

  /** Resident memory in MB (2^20 bytes); NaN once it has ended. */
  public static double residentMb(long pid) {
    try {
      Matcher resident = RESIDENT.matcher(Files.readString(Path.of("/proc/" + pid + "/status")));
      return resident.find() ? Long.parseLong(resident.group(1)) / 1024.0 : Double.NaN;
    } catch (IOException e) {
      return Double.NaN;
    }
  }

  /**
   * Heap that is in use after a full collection, in MB; NaN if the JVM does not tell. It costs the
   * process some tenths of a second, so it comes after all that is measured of its time.
   */
  public static double liveHeapMb(Children children, long pid) {
    try {
      jcmd(children, pid, "GC.run");
      Matcher used = HEAP.matcher(jcmd(children, pid, "GC.heap_info"));
      double sum = Double.NaN;
      while (used.find()) {
        sum = (Double.isNaN(sum) ? 0 : sum) + Long.parseLong(used.group(1)) / 1024.0;
      }
      return sum;
    } catch (IOException e) {
      return Double.NaN;
    }
  }

  private static String jcmd(Children children, long pid, String command) throws IOException {
    String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process process =
        children.start(
            new ProcessBuilder(tool, Long.toString(pid), command).redirectErrorStream(true));
    String notified = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    try {
      process.waitFor(TOOL_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return notified;
  }

  /**
   * The machine's load averages as they stand now, for the reader who judges a figure by its
   * company.
   */
  public static String loadAverage() {
    try {
      return Files.readString(Path.of("/proc/loadavg")).strip();
    } catch (IOException e) {
      return "unknown";
    }
  }
}
