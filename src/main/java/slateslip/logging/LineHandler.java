package slateslip.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes each log record to a stream as one line, in a single write call. */
final class LineHandler extends Handler {
  private final PrintStream stream;

  LineHandler(PrintStream stream) {
    this.stream = stream;
    setFormatter(new KeyValueFormatter());
  }

  @Override
  public void publish(LogRecord entry) {
    if (isLoggable(entry)) {
      byte[] line = getFormatter().format(entry).getBytes(StandardCharsets.UTF_8);
      stream.write(line, 0, line.length);
      stream.flush();
    }
  }

  @Override
  public void flush() {
    stream.flush();
  }

  @Override
  public void close() {
    stream.flush();
  }
}
