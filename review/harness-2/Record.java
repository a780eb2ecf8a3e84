import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what a case sent, got and ran, one line each, with the seconds since its start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter file;

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    file.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), text);
  }

  @Override
  public void close() {
    file.close();
  }
}
