import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the seconds since the start; also printed. */
final class Record implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
  }

  /** Only in the file. */
  synchronized void detail(String format, Object... values) {
    file.printf("%8.3f  %s%n", seconds(), String.format(format, values));
    file.flush();
  }

  synchronized void say(String format, Object... values) {
    detail(format, values);
    System.out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  @Override
  public void close() {
    file.close();
  }
}
