package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A {@link DiscoveryCommand} as a child of this process: it can be killed, and its own time be
 * measured.
 */
public final class DiscoveryProcess implements AutoCloseable {
  private final Process process;
  private final BufferedReader replies;
  private final Writer commands;
  private final InetSocketAddress address;

  /**
   * Starts one; it listens when this returns.
   *
   * @param children sees to its end
   * @param arguments of the command
   * @throws IOException if it does not come up
   */
  public DiscoveryProcess(Children children, List<String> arguments) throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> line =
        new ArrayList<>(
            List.of(
                java,
                "-Xmx512m",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "discovery"));
    line.addAll(arguments);
    process =
        children.start(new ProcessBuilder(line).redirectError(ProcessBuilder.Redirect.INHERIT));
    replies = process.inputReader(StandardCharsets.UTF_8);
    commands = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
    address = Addresses.of(reply().path("listening").asText());
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Its process id. */
  public long pid() {
    return process.pid();
  }

  /** Puts another list in place; returns its version. */
  public long replace(List<ServerEntry> entries) throws IOException {
    return ask(Map.of("command", "servers", "entries", lines(entries))).path("version").asLong();
  }

  /**
   * Tells several changed entries as one version; the reply has the version and when it was told.
   */
  public JsonNode change(List<ServerEntry> entries) throws IOException {
    return ask(Map.of("command", "change", "entries", lines(entries)));
  }

  /** The same as of that version, when it goes on for another process. */
  public long restore(long version, List<ServerEntry> entries) throws IOException {
    return ask(Map.of("command", "restore", "version", version, "entries", lines(entries)))
        .path("version")
        .asLong();
  }

  /** A command without entries, as the help has them. */
  public JsonNode ask(String command) throws IOException {
    return ask(Map.of("command", command));
  }

  /**
   * Gives a command and waits for its reply.
   *
   * @throws IOException if the process has ended, or answers with an error
   */
  public synchronized JsonNode ask(Map<String, ?> command) throws IOException {
    commands.write(Json.line(command));
    commands.write('\n');
    commands.flush();
    return reply();
  }

  private JsonNode reply() throws IOException {
    String line = replies.readLine();
    if (line == null) {
      throw new IOException("the discovery process has ended");
    }
    JsonNode reply = Json.read(line);
    if (reply.has("error")) {
      throw new IOException("discovery: " + reply.get("error").asText());
    }
    return reply;
  }

  private static List<JsonNode> lines(List<ServerEntry> entries) {
    return entries.stream()
        .map(each -> Json.read(new String(each.json(), StandardCharsets.UTF_8)))
        .toList();
  }

  /** Kills it as a machine's end would. */
  public void kill() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    kill();
  }
}
