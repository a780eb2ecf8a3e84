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
 * The command that tells how requests ended, by reason, from the metrics of data planes: files with
 * what their {@code /metrics} gave, or the addresses at which they tell it.
 */
final class LossReport {
  private static final String ENDED = "slateslip_dataplane_requests_ended_";
  private static final String TOTAL = "_total";
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

  /** Adds up what these sources tell, and prints it; the exit status of the command. */
  int print(List<String> sources) {
    int unreadable = 0;
    for (String source : sources) {
      try {
        add(read(source));
      } catch (IOException untold) {
        errors.println("cannot read " + source + ": " + untold.getMessage());
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
    } catch (IllegalArgumentException noAddress) {
      throw new IOException("neither a file nor an address", noAddress);
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }

  private void add(String metrics) {
    for (String line : metrics.split("\\R", -1)) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith(ENDED) && space > 0) {
        String outcome = line.substring(ENDED.length(), space).replace(TOTAL, "");
        byOutcome.merge(outcome, Long.parseLong(line.substring(space + 1)), Long::sum);
      }
    }
  }

  private void printTable(int sources) {
    long all = byOutcome.values().stream().mapToLong(Long::longValue).sum();
    output.printf("requests ended: %d, at %d data planes%n", all, sources);
    printRow(SERVED, byOutcome.getOrDefault(SERVED, 0L), all);
    byOutcome.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(SERVED) && entry.getValue() > 0)
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .forEach(entry -> printRow(entry.getKey(), entry.getValue(), all));
  }

  private void printRow(String outcome, long count, long all) {
    double percent = all == 0 ? 0 : PERCENT * count / all;
    output.printf("%-12s %8d %6.2f %%%n", outcome, count, percent);
  }
}
