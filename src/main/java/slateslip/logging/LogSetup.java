package slateslip.logging;

import java.io.PrintStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures logging for the process. Must be called before the first logger is created. */
public final class LogSetup {
  /**
   * System property with the lowest level that is logged: ERROR, WARN, INFO, DEBUG or TRACE; INFO
   * if not set.
   */
  public static final String LEVEL_PROPERTY = "slateslip.log.level";

  private static final String PROVIDER_PROPERTY = "org.jboss.logging.provider";
  private static final String CONFIGURATION_PROPERTY = "java.util.logging.config.class";

  /** Libraries that log normal operation at INFO; only their warnings and errors are logged. */
  private static final String[] QUIET_LIBRARIES = {"io.javalin", "org.eclipse.jetty", "io.netty"};

  /**
   * Strong references to the loggers of the libraries. The platform holds loggers by weak
   * references, and a collected logger loses its level.
   */
  private static final Logger[] RETAINED_LOGGERS = new Logger[QUIET_LIBRARIES.length];

  private LogSetup() {}

  /**
   * Replaces the default configuration of java.util.logging, which delays the start and is not
   * used.
   */
  public static final class NoPlatformConfiguration {}

  /**
   * Configures logging to standard error, with the level of {@link #LEVEL_PROPERTY}.
   *
   * @param node name of the node, written in every log line
   */
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

  /**
   * Returns the java.util.logging level of a conventional level name, or INFO if the name is
   * unknown.
   */
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
