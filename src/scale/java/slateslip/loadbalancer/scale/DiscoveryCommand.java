package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Discovery as a process of its own, so that it can be killed: one JSON line a command on standard
 * input, one a reply on standard output. It ends when its input does.
 */
@Command(
    name = "discovery",
    mixinStandardHelpOptions = true,
    description = {
      "Stands in for discovery; commands come on standard input, a JSON line each:",
      "  {\"command\":\"servers\",\"entries\":[...]}    another whole list",
      "  {\"command\":\"restore\",\"version\":41,\"entries\":[...]}    the same, as of that version",
      "  {\"command\":\"change\",\"entries\":[...]}     several changed entries, one version",
      "  {\"command\":\"spread\",\"version\":42,\"told\":NANOS}   how far a version has spread",
      "  {\"command\":\"millis\",\"version\":42,\"told\":NANOS,\"prefix\":\"127.3.\"}   when each had it",
      "  {\"command\":\"down\" | \"up\" | \"cut-off\" | \"reachable\" | \"stats\" | \"agents\"",
      "   | \"quit\"}"
    })
public final class DiscoveryCommand implements Callable<Integer> {
  @Option(
      names = "--listen",
      defaultValue = "127.0.0.1:0",
      paramLabel = "ADDRESS",
      description = "where to listen (default ${DEFAULT-VALUE})")
  private String listen;

  @Option(
      names = "--also",
      paramLabel = "ADDRESS",
      description = "a further address, by which agents are told apart")
  private List<String> also = new ArrayList<>();

  @Option(
      names = "--log-entries",
      defaultValue = "10000",
      paramLabel = "N",
      description = "changed entries that are kept (default ${DEFAULT-VALUE})")
  private int logEntries;

  @Option(names = "--down", description = "listens only after the command up, when it has its list")
  private boolean startsDown;

  @Option(
      names = "--one-at-a-time",
      description = "has the fixed capacity that the next options say")
  private boolean oneAtATime;

  @Option(
      names = "--service-time-us",
      defaultValue = "0",
      paramLabel = "US",
      description = "for each answer")
  private long callMicros;

  @Option(
      names = "--line-time-ns",
      defaultValue = "0",
      paramLabel = "NS",
      description = "for each entry in it")
  private long lineNanos;

  @Option(
      names = "--queue-limit",
      defaultValue = "1000",
      paramLabel = "N",
      description = "calls that may wait (default ${DEFAULT-VALUE})")
  private int queueLimit;

  @Option(
      names = "--queue-ms",
      defaultValue = "1000",
      paramLabel = "MS",
      description = "how long a call may wait; then 503 (default ${DEFAULT-VALUE})")
  private long queueMillis;

  private final Spread spread = new Spread();

  @Override
  public Integer call() throws IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<InetSocketAddress> further = also.stream().map(Addresses::of).toList();
    DiscoveryStandIn.Capacity capacity =
        oneAtATime
            ? new DiscoveryStandIn.Capacity(callMicros, lineNanos, queueLimit, queueMillis)
            : null;
    var options =
        new DiscoveryStandIn.Options(0, logEntries, capacity, further, startsDown, spread);
    try (DiscoveryStandIn discovery = new DiscoveryStandIn(group, Addresses.of(listen), options);
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      System.out.println(Json.line(Map.of("listening", Addresses.text(discovery.address()))));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        Map<String, Object> reply = reply(discovery, line);
        System.out.println(Json.line(reply));
        if (reply.containsKey("quit")) {
          break;
        }
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    return 0;
  }

  private Map<String, Object> reply(DiscoveryStandIn discovery, String line) {
    try {
      return did(discovery, Json.read(line));
    } catch (IllegalArgumentException | IllegalStateException e) {
      return Map.of("error", String.valueOf(e.getMessage()));
    }
  }

  private Map<String, Object> did(DiscoveryStandIn discovery, JsonNode command) {
    String word = command.path("command").asText();
    long notified = System.nanoTime();
    switch (word) {
      case "servers" -> {
        return Map.of("version", discovery.replace(entries(command)), "told", notified);
      }
      case "restore" -> {
        long version = command.path("version").asLong();
        return Map.of("version", discovery.restore(version, entries(command)), "told", notified);
      }
      case "change" -> {
        return Map.of("version", discovery.change(entries(command)), "told", notified);
      }
      case "spread" -> {
        return Map.of(
            "spread",
            Json.MAPPER.valueToTree(
                spread.of(command.path("version").asLong(), command.path("told").asLong())));
      }
      case "millis" -> {
        return Map.of(
            "millis",
            spread.millis(
                command.path("version").asLong(),
                command.path("told").asLong(),
                command.path("prefix").asText()));
      }
      case "down" -> {
        discovery.down();
        return Map.of("down", true);
      }
      case "up" -> {
        discovery.up();
        return Map.of("up", true);
      }
      case "cut-off" -> {
        discovery.disconnect();
        return Map.of("cut-off", true);
      }
      case "reachable" -> {
        discovery.reachable();
        return Map.of("reachable", true);
      }
      case "stats" -> {
        return Map.of(
            "version", discovery.version(), "counts", Json.MAPPER.valueToTree(discovery.counts()));
      }
      case "agents" -> {
        return new TreeMap<>(discovery.countsByAgent());
      }
      case "quit" -> {
        return Map.of("quit", true);
      }
      default -> throw new IllegalArgumentException("command: " + word);
    }
  }

  private static List<ServerEntry> entries(JsonNode command) {
    List<ServerEntry> entries = new ArrayList<>();
    command.path("entries").forEach(each -> entries.add(ServerEntry.of(each)));
    return entries;
  }
}
