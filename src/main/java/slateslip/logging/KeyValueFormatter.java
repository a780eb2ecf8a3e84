package slateslip.logging;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line: {@code time=... level=... node=... epoch=... version=...
 * logger=... msg="..."}, followed by {@code error="..."} if the record has a throwable.
 */
final class KeyValueFormatter extends Formatter {
  private static final int MAX_FRAMES = 12;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int NANOS_PER_MILLI = 1_000_000;
  private static final int TYPICAL_LENGTH = 160;
  private static final char LINE_SEPARATOR = 0x2028;
  private static final char PARAGRAPH_SEPARATOR = 0x2029;

  @Override
  public String format(LogRecord entry) {
    StringBuilder line = new StringBuilder(TYPICAL_LENGTH);
    line.append("time=");
    appendTime(line, entry.getMillis());
    line.append(" level=").append(levelName(entry.getLevel()));
    line.append(" node=").append(LogContext.node());
    line.append(" epoch=").append(LogContext.epoch());
    line.append(" version=").append(LogContext.version());
    line.append(" logger=").append(simpleName(entry.getLoggerName()));
    line.append(" msg=");
    appendQuoted(line, formatMessage(entry));
    if (entry.getThrown() != null) {
      line.append(" error=");
      appendQuoted(line, describe(entry.getThrown()));
    }
    return line.append('\n').toString();
  }

  private static void appendTime(StringBuilder line, long millis) {
    long second = Math.floorDiv(millis, (long) MILLIS_PER_SECOND);
    int nanos = (int) Math.floorMod(millis, (long) MILLIS_PER_SECOND) * NANOS_PER_MILLI;
    line.append(LocalDateTime.ofEpochSecond(second, nanos, ZoneOffset.UTC)).append('Z');
  }

  /**
   * Returns the conventional name of a level. The names of java.util.logging, such as SEVERE and
   * FINE, are not written.
   */
  private static String levelName(Level level) {
    int value = level.intValue();
    if (value >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    if (value >= Level.WARNING.intValue()) {
      return "WARN";
    }
    if (value >= Level.INFO.intValue()) {
      return "INFO";
    }
    return value >= Level.FINE.intValue() ? "DEBUG" : "TRACE";
  }

  private static String simpleName(String logger) {
    return logger == null ? "-" : logger.substring(logger.lastIndexOf('.') + 1);
  }

  private static String describe(Throwable thrown) {
    StringBuilder text = new StringBuilder();
    for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
      text.append(text.length() == 0 ? "" : "; caused by ").append(cause);
      StackTraceElement[] frames = cause.getStackTrace();
      for (int index = 0; index < Math.min(MAX_FRAMES, frames.length); index++) {
        text.append(" < ").append(frames[index]);
      }
    }
    return text.toString();
  }

  private static void appendQuoted(StringBuilder line, String text) {
    line.append('"');
    for (int index = 0; text != null && index < text.length(); index++) {
      char character = text.charAt(index);
      switch (character) {
        case '"', '\\' -> line.append('\\').append(character);
        case '\n' -> line.append("\\n");
        case '\r' -> line.append("\\r");
        default -> appendVisible(line, character);
      }
    }
    line.append('"');
  }

  /**
   * Escapes control characters and Unicode line separators, so that text from clients or peers
   * cannot end a log line for any reader.
   */
  private static void appendVisible(StringBuilder line, char character) {
    boolean invisible = Character.isISOControl(character) && character != '\t';
    if (invisible || character == LINE_SEPARATOR || character == PARAGRAPH_SEPARATOR) {
      line.append(String.format("\\u%04x", (int) character));
    } else {
      line.append(character);
    }
  }
}
