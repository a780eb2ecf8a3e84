package slateslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Implements the command {@code losses}, which prints how many requests ended with each outcome,
 * summed over the metrics of several data planes. A source is a file with a response of {@code
 * /metrics}, or the address of a data plane that serves {@code /metrics}.
 */
final class LossReport {
  private static final String METRIC_PREFIX = "slateslip_dataplane_requests_ended_";
  private static final String METRIC_SUFFIX = "_total";
  private static final String SERVED = "served";
  private static final double PERCENT = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final PrintStream output;
  private final PrintStream errors;
  private final Map<String, Long> byOutcome = new TreeMap<>();

  LossReport(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errors = errors;
  }

  /**
   * Sums the metrics of the given sources, prints a table, and returns the exit status of the
   * command.
   */
  int print(List<String> sources) {
    int unreadable = 0;
    for (String source : sources) {
      try {
        add(read(source));
      } catch (IOException unreadableSource) {
        errors.println("cannot read " + source + ": " + unreadableSource.getMessage());
        unreadable++;
      }
    }
    printTable(sources.size() - unreadable);
    return unreadable == 0 ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  private static String read(String source) throws IOException {
    if (Files.exists(Path.of(source))) {
      return Files.readString(Path.of(source));
    }
    OkHttpClient client = new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    Request request = new Request.Builder().url("http://" + source + "/metrics").build();
    try (Response response = client.newCall(request).execute()) {
      return response.body().string();
    } catch (IllegalArgumentException invalidAddress) {
      throw new IOException("neither a file nor an address", invalidAddress);
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }

  private void add(String metrics) {
    for (String line : metrics.split("\\R", -1)) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith(METRIC_PREFIX) && space > 0) {
        String outcome = line.substring(METRIC_PREFIX.length(), space).replace(METRIC_SUFFIX, "");
        byOutcome.merge(outcome, Long.parseLong(line.substring(space + 1)), Long::sum);
      }
    }
  }

  private void printTable(int sources) {
    long total = byOutcome.values().stream().mapToLong(Long::longValue).sum();
    output.printf("requests ended: %d, at %d data planes%n", total, sources);
    printRow(SERVED, byOutcome.getOrDefault(SERVED, 0L), total);
    byOutcome.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(SERVED) && entry.getValue() > 0)
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .forEach(entry -> printRow(entry.getKey(), entry.getValue(), total));
  }

  private void printRow(String outcome, long count, long total) {
    double percent = total == 0 ? 0 : PERCENT * count / total;
    output.printf("%-12s %8d %6.2f %%%n", outcome, count, percent);
  }
}
