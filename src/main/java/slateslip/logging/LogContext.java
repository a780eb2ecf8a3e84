package slateslip.logging;

/**
 * Fields of the process's node that every log line contains. The process updates a field whenever
 * the value changes.
 */
public final class LogContext {
  private static volatile String node = "-";
  private static volatile long epoch;
  private static volatile long version;

  private LogContext() {}

  /** Sets the name of the node. */
  public static void node(String name) {
    node = name;
  }

  /**
   * Sets the epoch of the newest view that the node has received. Data planes receive no views and
   * leave the epoch at 0.
   */
  public static void epoch(long newest) {
    epoch = newest;
  }

  /** Sets the version of the newest configuration that the node has. */
  public static void version(long newest) {
    version = newest;
  }

  static String node() {
    return node;
  }

  static long epoch() {
    return epoch;
  }

  static long version() {
    return version;
  }
}
