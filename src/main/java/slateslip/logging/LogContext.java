package slateslip.logging;

/** What every line of the process's log tells of its node. Set by the host when it changes. */
public final class LogContext {
  private static volatile String node = "-";
  private static volatile long epoch;
  private static volatile long version;

  private LogContext() {}

  /** Sets the node's name. */
  public static void node(String name) {
    node = name;
  }

  /** Sets the epoch of the newest view that the node knows; data planes know none. */
  public static void epoch(long newest) {
    epoch = newest;
  }

  /** Sets the version of the newest configuration that the node holds. */
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
