package slateslip.logging;

import java.io.PrintStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets the process's log up; to be called before the first logger is made. */
public final class LogSetup {
  /** System property with the lowest level that is written: ERROR, WARN, INFO, DEBUG or TRACE. */
  public static final String LEVEL_PROPERTY = "slateslip.log.level";

  private static final String PROVIDER_PROPERTY = "org.jboss.logging.provider";
  private static final String CONFIGURATION_PROPERTY = "java.util.logging.config.class";

  /** Libraries that report their ordinary work at INFO. */
  private static final String[] QUIET_LIBRARIES = {"io.javalin", "org.eclipse.jetty", "io.netty"};

  /** Held here: the platform forgets loggers that nobody holds, and their levels with them. */
  private static final Logger[] RETAINED_LOGGERS = new Logger[QUIET_LIBRARIES.length];

  private LogSetup() {}

  /** Replaces the platform's own start-up configuration, which costs time and is not wanted. */
  public static final class NoPlatformConfiguration {}

  /** Writes to standard error, with the level of {@link #LEVEL_PROPERTY}. */
  public static void install(String node) {
    install(node, System.err, level(System.getProperty(LEVEL_PROPERTY, "")));
  }

  static void install(String node, PrintStream stream, Level level) {
    System.setProperty(PROVIDER_PROPERTY, "jdk");
    System.setProperty(CONFIGURATION_PROPERTY, NoPlatformConfiguration.class.getName());
    LogContext.node(node);
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(new LineHandler(stream));
    root.setLevel(level);
    for (int index = 0; index < QUIET_LIBRARIES.length; index++) {
      RETAINED_LOGGERS[index] = Logger.getLogger(QUIET_LIBRARIES[index]);
      RETAINED_LOGGERS[index].setLevel(higher(level, Level.WARNING));
    }
  }

  /** The platform's level of a usual name; INFO if the name is none. */
  static Level level(String name) {
    return switch (name.toUpperCase(Locale.ROOT)) {
      case "ERROR" -> Level.SEVERE;
      case "WARN" -> Level.WARNING;
      case "DEBUG" -> Level.FINE;
      case "TRACE" -> Level.FINER;
      default -> Level.INFO;
    };
  }

  private static Level higher(Level one, Level other) {
    return one.intValue() >= other.intValue() ? one : other;
  }
}
